package rudderedge

import (
	"bufio"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// logQueue is the number of log lines that can wait to be written, about 1 MB.
	logQueue = 4096
	// logDelay is the pause between writes, so that many lines share one write.
	logDelay = 100 * time.Millisecond
	// logBuffer is the size of the write buffer in bytes.
	logBuffer = 32 << 10
	// logCloseTimeout bounds the last write, for an output that nobody reads, where no grace time is about to end.
	logCloseTimeout = 100 * time.Millisecond
)

// LogWriter writes log lines in the background. When its queue is full, lines are dropped and counted,
// so that a slow reader never blocks a request.
type LogWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	closing chan struct{}
	done    chan struct{}

	mu     sync.RWMutex
	closed bool
}

// NewLogWriter returns a LogWriter that writes to output. Call Close to flush it.
func NewLogWriter(output io.Writer) *LogWriter {
	w := &LogWriter{lines: make(chan []byte, logQueue), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run(bufio.NewWriterSize(output, logBuffer))
	return w
}

// Write queues one line. It never blocks and never fails. After Close, lines are dropped.
func (w *LogWriter) Write(line []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close flushes the queued lines and stops the writer. An output that does not take them within the timeout loses them.
func (w *LogWriter) Close(timeout time.Duration) {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.closing)
		close(w.lines)
	}
	w.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}

func (w *LogWriter) run(output *bufio.Writer) {
	defer close(w.done)
	for line := range w.lines {
		_, _ = output.Write(line) // a failed write cannot be reported anywhere else
		for n := len(w.lines); n > 0; n-- {
			if line, open := <-w.lines; open {
				_, _ = output.Write(line)
			}
		}
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(output, "{\"level\":\"warn\",\"message\":\"log lines dropped\",\"lines\":%d}\n", n)
		}
		_ = output.Flush()
		w.awaitLines()
	}
	_ = output.Flush()
}

// awaitLines returns after logDelay, or at once when the writer is closed.
func (w *LogWriter) awaitLines() {
	timer := time.NewTimer(logDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.closing:
	}
}
