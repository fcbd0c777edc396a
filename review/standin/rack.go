package main

import (
	"fmt"
	"strings"
	"time"
)

// playRack loses one rack of executors for good while they run many small tasks, and hands in
// small submissions before and after.
func playRack(p *playing) ([]string, error) {
	behave := func(task, spec string) behaviour {
		if strings.HasPrefix(spec, "probe") {
			return behaviour{lasts: 200 * time.Millisecond}
		}
		return behaviour{lasts: 45*time.Second + time.Duration(hash(task)%5000)*time.Millisecond}
	}
	const executors, racks, submissions, tasks = 33, 3, 14, 1000
	if err := p.begin(same("a", executors), 4, behave); err != nil {
		return nil, err
	}
	f, all := p.fleet, p.fleet.executors
	all.notes = true
	var ids []string
	submit := func(spec string, count, cpu, memMB, estimateMs int) error {
		id := fmt.Sprintf("%016x", 0x3ac0000+len(ids))
		ids = append(ids, id)
		return f.submit(id, fmt.Sprintf(`{"spec":"%s-nosave","steps":[{"count":%d,"cpu":%d,"memMb":%d,"estimateMs":%d}]}`, spec, count, cpu, memMB, estimateMs))
	}
	probe := func(n int) {
		for range n {
			submit("probe", 4, 1400, 2800, 200) // one that isn't accepted is not owed
			time.Sleep(time.Second)
		}
	}
	for range submissions {
		if err := submit("large", tasks, 10, 16, 47000); err != nil {
			return nil, err
		}
	}
	probe(5)
	for limit := time.Now().Add(30 * time.Second); all.running() < submissions*tasks; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(limit) {
			return nil, fmt.Errorf("%w: only %d tasks run", errCouldNotRun, all.running())
		}
	}
	if p.trouble {
		f.rec.printf("the executors of rack %s are lost for good", all.list[0].rack)
		for i := 0; i < executors; i += racks {
			f.lose(i)
		}
	}
	probe(30)
	f.rec.printf("the traffic ends")
	time.Sleep(14 * time.Second) // finish_s
	return p.idle(ids), nil
}

// lose ends an executor for good: its address doesn't answer any more, and its entry goes after
// three intervals of silence.
func (f *fleet) lose(i int) {
	f.proxies[i].cut()
	f.executors.mu.Lock()
	defer f.executors.mu.Unlock()
	e := f.executors.list[i]
	f.rec.printf("%s is lost with %d runs", e.id, len(e.runs))
	e.crash()
	time.AfterFunc(3*heartbeat, func() { f.store.put("servers", e.id, "") })
}
