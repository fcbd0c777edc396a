package main

import (
	"fmt"
	"time"
)

// playEnds cuts an executor with 500 short tasks off for some seconds, in which they end.
func playEnds(p *playing) ([]string, error) {
	behave := func(task, spec string) behaviour {
		return behaviour{lasts: 1500*time.Millisecond + time.Duration(hash(task)%2000)*time.Millisecond}
	}
	if err := p.begin(same("a", 6), 4, behave); err != nil {
		return nil, err
	}
	f := p.fleet
	f.executors.notes = true
	var ids []string
	for i := range 20 {
		id := fmt.Sprintf("%016x", 0xe0d500+i)
		if err := f.submit(id, `{"spec":"nosave","steps":[{"count":1000,"cpu":10,"memMb":16,"estimateMs":2500}]}`); err != nil {
			return nil, err
		}
		ids = append(ids, id)
	}
	victim := f.executors.list[1]
	for limit := time.Now().Add(15 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		f.executors.mu.Lock()
		n := len(victim.runs)
		f.executors.mu.Unlock()
		if n >= 480 {
			break
		}
		if time.Now().After(limit) {
			return nil, fmt.Errorf("%w: %s has only %d runs", errCouldNotRun, victim.id, n)
		}
	}
	time.Sleep(3 * time.Second)
	for limit := time.Now().Add(20 * time.Second); victim.held() < 508; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			return nil, fmt.Errorf("%w: %s never has so many runs and ends", errCouldNotRun, victim.id)
		}
	}
	if p.trouble {
		f.proxies[1].cut()
		p.note(victim, "is cut off")
		time.Sleep(4200 * time.Millisecond)
		f.proxies[1].heal()
		p.note(victim, "is reached again")
	}
	others := p.awaitAll(ids, 60*time.Second)
	for _, o := range others {
		p.rec.printf("%s", o)
	}
	f.executors.mu.Lock()
	defer f.executors.mu.Unlock()
	p.count()
	return f.executors.twice, nil
}

// held returns the number of runs and of ends that are not taken note of.
func (e *executor) held() int {
	e.all.mu.Lock()
	defer e.all.mu.Unlock()
	e.advance()
	return len(e.runs) + len(e.ends) - e.noted
}

// note records what an executor has.
func (p *playing) note(e *executor, what string) {
	e.all.mu.Lock()
	defer e.all.mu.Unlock()
	e.advance()
	p.rec.printf("%s %s: %d runs, %d ends not taken note of", e.id, what, len(e.runs), len(e.ends)-e.noted)
}
