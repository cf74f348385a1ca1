package worker

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/jaybarrow/jaybarrow"
)

// FaultKind is a way in which the worker misbehaves on starts of tasks. Other calls are unaffected.
type FaultKind string

// The kinds of faults.
const (
	FaultNone      FaultKind = ""
	FaultFail      FaultKind = "fail"      // every task fails after the delay without doing its work
	FaultHang      FaultKind = "hang"      // tasks run, but their starts are never answered
	FaultTruncate  FaultKind = "truncate"  // the answer ends before its declared length
	FaultDuplicate FaultKind = "duplicate" // each answer is sent twice, the second time after the delay
	FaultCross     FaultKind = "cross"     // the answer carries the id and body of another task
	FaultLate      FaultKind = "late"      // answers are sent after the delay, although tasks end in time
)

// Fault is a fault of the worker and its delay, for the kinds that have one.
type Fault struct {
	Kind    FaultKind `json:"kind"`
	DelayMs int64     `json:"delayMs,omitempty"`
}

func (f Fault) delay() time.Duration { return time.Duration(f.DelayMs) * time.Millisecond }

// crossedTask is the task id in answers under FaultCross.
const crossedTask jaybarrow.TaskID = "crossed"

type faults struct {
	sync.Mutex
	current Fault
}

func (f *faults) get() Fault {
	f.Lock()
	defer f.Unlock()
	return f.current
}

func (f *faults) set(fault Fault) {
	f.Lock()
	defer f.Unlock()
	f.current = fault
}

// SetFault replaces the fault of the worker.
func (s *Server) SetFault(fault Fault) { s.faults.set(fault) }

// SetFrozen freezes the open connections, except the one from the remote address, or resumes them. Data that they receive
// while frozen is served when they are resumed.
func (s *Server) SetFrozen(frozen bool, except net.Addr) {
	if frozen {
		s.listener.freeze(except)
		return
	}
	s.listener.thaw()
}

// BlockedReads returns the number of frozen connections that have received data and not delivered it.
func (s *Server) BlockedReads() int {
	s.listener.Lock()
	defer s.listener.Unlock()
	return s.listener.blockedReads
}

// SetRefusing makes the worker refuse new connections, or serve them again.
func (s *Server) SetRefusing(refusing bool) { s.listener.setClosed(refusing) }

// control serves the endpoints under /control/, which switch faults.
func (s *Server) control(ctx *fasthttp.RequestCtx, method, name string) {
	on := method == fasthttp.MethodPost
	switch name {
	case "fault":
		fault := Fault{}
		if on && json.Unmarshal(ctx.PostBody(), &fault) != nil {
			ctx.SetStatusCode(fasthttp.StatusBadRequest)
			return
		}
		s.SetFault(fault)
	case "freeze":
		s.SetFrozen(on, ctx.RemoteAddr())
	case "refuse":
		s.SetRefusing(on)
	case "lag":
		var lag struct {
			Ms int64 `json:"ms"`
		}
		if on && json.Unmarshal(ctx.PostBody(), &lag) != nil {
			ctx.SetStatusCode(fasthttp.StatusBadRequest)
			return
		}
		s.worker.SetUsageLag(time.Duration(lag.Ms) * time.Millisecond)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// respond answers the start of a task, subject to the fault.
func (s *Server) respond(ctx *fasthttp.RequestCtx, r startResult) {
	fault := s.faults.get()
	switch fault.Kind {
	case FaultHang:
		s.hijack(ctx, func(c net.Conn) {
			_, _ = io.Copy(io.Discard, c) // until the client closes the connection
		})
	case FaultTruncate:
		data := s.encode(r)
		s.hijack(ctx, func(c net.Conn) { _, _ = c.Write(data[:len(data)-(len(r.body)+1)/2]) })
	case FaultDuplicate:
		_, _ = ctx.Conn().Write(s.encode(r))
		s.sleep(fault.delay())
		r.write(&ctx.Response)
	case FaultCross:
		r.task, r.body = crossedTask, []byte(`{"task":"crossed"}`)
		r.write(&ctx.Response)
	case FaultLate:
		s.sleep(fault.delay())
		r.write(&ctx.Response)
	default:
		r.write(&ctx.Response)
	}
}

// hijack takes over the connection and keeps fasthttp from answering on it.
func (s *Server) hijack(ctx *fasthttp.RequestCtx, serve func(net.Conn)) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(serve)
}

// encode returns the encoded answer with its headers.
func (s *Server) encode(r startResult) []byte {
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	r.write(response)
	s.setWorkerHeaders(response)
	var data bytes.Buffer
	_, _ = response.WriteTo(&data)
	return data.Bytes()
}
