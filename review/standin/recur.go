package main

import (
	"fmt"
	"time"
)

// playRecur hands in a submission that runs many times, beside small ones.
func playRecur(p *playing) ([]string, error) {
	behave := func(task, spec string) behaviour { return behaviour{lasts: 200 * time.Millisecond} }
	if err := p.begin(same("a", 8), 4, behave); err != nil {
		return nil, err
	}
	f, all := p.fleet, p.fleet.executors
	all.notes = true
	if p.trouble {
		if err := f.submit("00000000ec0d0001", fmt.Sprintf(`{"spec":"nosave","steps":[{"count":400,"cpu":20,"memMb":16,"estimateMs":200}],`+
			`"maxRuns":100,"initialDelayMs":%d,"intervalMs":500}`, time.Now().UnixMilli())); err != nil {
			return nil, err
		}
	}
	var ids []string
	for i := range 60 {
		id := fmt.Sprintf("%016x", 0xec0d00000+i)
		status, _ := f.call(f.vms[i%len(f.vms)], "POST", prefix+id, `{"spec":"nosave","steps":[{"count":4,"cpu":1400,"memMb":2800,"estimateMs":200}]}`)
		if status/100 == 2 { // one that isn't accepted is not owed
			ids = append(ids, id)
		}
		time.Sleep(time.Second)
	}
	f.rec.printf("the traffic ends")
	time.Sleep(14 * time.Second) // finish_s
	return p.idle(ids), nil
}
