package main

import (
	"fmt"
	"strings"
	"time"
)

// playGang crashes one executor of a gang that checkpoints.
func playGang(p *playing) ([]string, error) {
	const id = "000000006a960001"
	behave := func(task, spec string) behaviour {
		if strings.HasPrefix(spec, "gang") {
			return behaviour{lasts: 5 * time.Second, gang: 4}
		}
		return behaviour{lasts: time.Second}
	}
	if err := p.begin(same("a", 8), 4, behave); err != nil {
		return nil, err
	}
	f := p.fleet
	f.executors.notes = true
	if err := f.submit(id, `{"spec":"gang","steps":[{"count":4,"cpu":9000,"memMb":2800,"estimateMs":5000,"checkpointable":true,"gang":true}]}`); err != nil {
		return nil, err
	}
	e := p.awaitRun(id+".0.0.2", 10*time.Second)
	if e == nil {
		return nil, fmt.Errorf("%w: the gang has not started", errCouldNotRun)
	}
	time.Sleep(2300 * time.Millisecond)
	if p.trouble {
		f.restart(e, 2*time.Second, anotherLife)
		p.rec.printf("no disturbance any more")
	}
	calmAt := f.rec.now() + 3*heartbeat + 4*time.Second // the entry of the life that has ended is removed, and stableWindowMs
	state := f.await(id, 45*time.Second)
	f.executors.mu.Lock()
	defer f.executors.mu.Unlock()
	p.count()
	p.rec.printf("the gang is shown as %s, %.1f s after the last disturbance", state, (f.rec.now() - calmAt + 4*time.Second).Seconds())
	var breaks []string
	for _, a := range f.executors.alone {
		if a.begun > calmAt {
			breaks = append(breaks, a.text)
		}
	}
	return breaks, nil
}
