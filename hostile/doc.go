// Package hostile contains tests that run the real daemons as separate processes against
// crowds of clients that no one controls. They check what does not depend on the speed of
// the machine: the process lives, its memory and descriptors stay within the settings of its
// machine, and an ordinary request is answered while the crowd is still connected. See
// docs/design/untrusted-clients.md.
package hostile
