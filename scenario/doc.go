// Package scenario runs scripts of the testscript language against real
// processes. It consists of tests: its commands for daemons, faults and ledgers
// start processes, which no program of the product does.
package scenario
