package caller

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/bramleyrack/bramleyrack/client"
	"github.com/bramleyrack/bramleyrack/internal/standin/content"
)

// feed keeps one feed open until the end of the run and checks every event.
func (w *worker) feed(startCtx, _ context.Context) {
	feed, err := w.client.Subscribe(startCtx, w.name)
	if err != nil {
		w.collector.addProblem(nil, w.name+": "+err.Error())
		return
	}
	defer feed.Close()
	checker := &feedChecker{worker: w, feed: feed}
	for {
		event, err := feed.Next(startCtx)
		if err != nil {
			checker.finish(startCtx, err)
			return
		}
		checker.check(event.GetSequence(), event.GetUpstream(), event.GetBody())
	}
}

// feedChecker checks the events of one feed. lastSequence, lastUpstream and lastEventAt describe the last event.
type feedChecker struct {
	worker       *worker
	feed         *client.Feed
	lastSequence uint64
	lastUpstream uint32
	reconnects   uint64
	lastEventAt  time.Time
}

// check compares an event with its expected body and sequence number, and records it.
func (f *feedChecker) check(sequence uint64, upstream uint32, body []byte) {
	now := time.Now()
	w := f.worker
	if !bytes.Equal(body, content.Event(w.name, sequence)) {
		w.collector.addProblem(func(r *Result) { r.WrongAnswers++ }, w.name+" received an event of another feed")
	}
	if f.lastSequence != 0 && sequence != f.lastSequence+1 {
		w.collector.addProblem(func(r *Result) { r.WrongAnswers++ }, fmt.Sprintf("%s missed events %d to %d", w.name, f.lastSequence+1, sequence-1))
	}
	if f.lastSequence == 0 {
		f.reconnects = f.feed.Reconnects()
		w.completed++
	} else {
		f.recordProgress(now, upstream)
	}
	f.lastSequence, f.lastUpstream, f.lastEventAt = sequence, upstream, now
}

// recordProgress counts reconnects and measures the silence since the previous event.
func (f *feedChecker) recordProgress(now time.Time, upstream uint32) {
	silence := now.Sub(f.lastEventAt).Milliseconds()
	w := f.worker
	w.collector.update(func(r *Result) {
		r.FeedEvents++
		r.FeedSilenceMilliseconds = max(r.FeedSilenceMilliseconds, silence)
	})
	if reconnects := f.feed.Reconnects(); reconnects > f.reconnects {
		w.collector.addProblem(func(r *Result) { r.BrokenFlows += int(reconnects - f.reconnects) },
			fmt.Sprintf("%s moved from upstream %d to %d after %d ms", w.name, f.lastUpstream, upstream, silence))
		f.reconnects = reconnects
	}
}

// finish checks that a feed delivered events until just before the end of the run. A feed without any event counts as
// an idle worker instead.
func (f *feedChecker) finish(startCtx context.Context, err error) {
	w := f.worker
	switch {
	case f.lastSequence == 0:
		return
	case startCtx.Err() == nil:
		w.collector.addProblem(func(r *Result) { r.BrokenFlows++ }, w.name+" ended early: "+err.Error())
	case time.Since(f.lastEventAt) > maxFinalSilence:
		w.collector.addProblem(func(r *Result) { r.BrokenFlows++ }, w.name+" was silent at the end")
	default:
		w.collector.update(func(r *Result) { r.Feeds++ })
	}
}

// maxFinalSilence is the longest silence at the end of the run after which a feed still counts as intact.
const maxFinalSilence = 2 * time.Second

// downloads fetches objects one after the other.
func (w *worker) downloads(startCtx, settleCtx context.Context) {
	for n := 0; startCtx.Err() == nil; n++ {
		w.download(settleCtx, fmt.Sprintf("%s-%d", w.name, n))
		w.pause(startCtx)
	}
}

func (w *worker) download(ctx context.Context, object string) {
	data, err := w.client.Download(ctx, object)
	switch {
	case err != nil:
		w.collector.addProblem(func(r *Result) { r.BrokenFlows++ }, object+": "+err.Error())
	case !bytes.Equal(data, content.Object(object, w.config.ObjectBytes)):
		w.collector.addProblem(func(r *Result) { r.WrongAnswers++ }, object+" has the content of another object or is incomplete")
	default:
		w.completed++
		w.collector.update(func(r *Result) { r.Downloads++ })
	}
}
