package experiment

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/job"
	"github.com/peridotlock/peridotlock/settings"
)

const (
	scaleWorkers = 620
	scaleJobs    = 810
	scaleTasks   = 20 // per job
)

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkPlacement starts 16,200 tasks of one queue on 620 workers and reports
// the starts per second and the memory and log bytes per task.
func BenchmarkPlacement(b *testing.B) {
	d := Zavod()
	d.Workers = scaleWorkers
	taskModel := &TaskModel{Behaviour: func(string) TaskBehaviour { return TaskBehaviour{RunTime: time.Hour} }}
	for b.Loop() {
		vms := d.VMs()
		workers := make(map[string]*Worker)
		for _, vm := range vms {
			workers[vm.ID] = NewWorker(vm, taskModel, epoch)
		}
		empty := heapBytes()
		s := NewCoreScheduler(d.Team, settings.DefaultPolicy(), vms)
		now := epoch
		s.Step(now, StepInput{Workers: workers})
		idle := heapBytes()
		for i := range scaleJobs {
			s.Submit(now, job.Spec{
				Name: "run", Team: d.Team, Kind: "certificate", Class: fleet.Batch, Count: scaleTasks, RunTime: time.Hour,
				Size: fleet.Resources{MilliCPU: 2000, MemoryMB: 4000}, IdempotencyKey: fmt.Sprint("k", i),
			})
		}
		begin := time.Now()
		for s.Starts < scaleJobs*scaleTasks {
			now = now.Add(time.Second)
			s.Step(now, StepInput{Workers: workers})
		}
		took := time.Since(begin)
		held := heapBytesWithout(workers)
		b.ReportMetric(float64(s.Starts)/took.Seconds(), "starts/s")
		b.ReportMetric(float64(idle-empty)/scaleWorkers, "B/worker")
		b.ReportMetric(float64(held-idle)/(scaleJobs*scaleTasks), "B/task")
		b.ReportMetric(float64(s.LogBytes)/float64(s.Starts), "log-B/task")
		b.ReportMetric(float64(s.LogRecords)/float64(s.Starts), "log-records/task")
		runtime.KeepAlive(s)
	}
}

// heapBytesWithout returns the size of the heap in bytes without the state of the
// fake workers, which it clears.
func heapBytesWithout(workers map[string]*Worker) int64 {
	with := heapBytes()
	for id, w := range workers {
		w.runs, w.newestAttempt = nil, nil
		workers[id] = w
	}
	without := heapBytes()
	return min(with, without)
}
