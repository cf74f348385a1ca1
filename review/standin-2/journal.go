package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// journal is the record of a case.
type journal struct {
	lock  sync.Mutex
	file  *os.File
	began time.Time
	ended bool // by the verdict, after which nothing is added
}

func newJournal(path string) (*journal, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &journal{file: f, began: time.Now()}, nil
}

// print adds a line with the seconds since the case began.
func (j *journal) print(format string, args ...any) {
	j.lock.Lock()
	defer j.lock.Unlock()
	if j.ended {
		return
	}
	fmt.Fprintf(j.file, "%8.3f  %s\n", time.Since(j.began).Seconds(), fmt.Sprintf(format, args...))
}

// conclude adds the verdict, which is the last line.
func (j *journal) conclude(format string, args ...any) {
	j.print(format, args...)
	j.lock.Lock()
	defer j.lock.Unlock()
	j.ended = true
}

func (j *journal) close() { _ = j.file.Close() }
