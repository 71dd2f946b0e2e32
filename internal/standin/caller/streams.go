package caller

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/bramleyrack/bramleyrack/client"
	"github.com/bramleyrack/bramleyrack/internal/standin/content"
)

// feed holds one feed open until the end of the run and checks every event.
func (w *worker) feed(starting, _ context.Context) {
	feed, err := w.client.Subscribe(starting, w.name)
	if err != nil {
		w.tally.problem(nil, w.name+": "+err.Error())
		return
	}
	defer feed.Close()
	follower := &follower{worker: w, feed: feed}
	for {
		event, err := feed.Next(starting)
		if err != nil {
			follower.end(starting, err)
			return
		}
		follower.event(event.GetSequence(), event.GetUpstream(), event.GetBody())
	}
}

// follower keeps what one feed has delivered.
type follower struct {
	worker     *worker
	feed       *client.Feed
	last       uint64
	upstream   uint32
	reconnects uint64
	at         time.Time
}

func (f *follower) event(sequence uint64, upstream uint32, body []byte) {
	now := time.Now()
	w := f.worker
	if !bytes.Equal(body, content.Event(w.name, sequence)) {
		w.tally.problem(func(r *Result) { r.WrongAnswers++ }, w.name+" got an event of another feed")
	}
	if f.last != 0 && sequence != f.last+1 {
		w.tally.problem(func(r *Result) { r.WrongAnswers++ }, fmt.Sprintf("%s missed events %d to %d", w.name, f.last+1, sequence-1))
	}
	if f.last == 0 {
		f.reconnects = f.feed.Reconnects()
		w.done++
	} else {
		f.progress(now, upstream)
	}
	f.last, f.upstream, f.at = sequence, upstream, now
}

// progress counts breaks and the silence since the event before.
func (f *follower) progress(now time.Time, upstream uint32) {
	silence := now.Sub(f.at).Milliseconds()
	w := f.worker
	w.tally.change(func(r *Result) {
		r.FeedEvents++
		r.FeedSilenceMilliseconds = max(r.FeedSilenceMilliseconds, silence)
	})
	if reconnects := f.feed.Reconnects(); reconnects > f.reconnects {
		w.tally.problem(func(r *Result) { r.BrokenFlows += int(reconnects - f.reconnects) },
			fmt.Sprintf("%s moved from upstream %d to %d after %d ms", w.name, f.upstream, upstream, silence))
		f.reconnects = reconnects
	}
}

// end judges a feed at the end of the run: it must have delivered until just before.
func (f *follower) end(starting context.Context, err error) {
	w := f.worker
	switch {
	case f.last == 0:
		return
	case starting.Err() == nil:
		w.tally.problem(func(r *Result) { r.BrokenFlows++ }, w.name+" ended early: "+err.Error())
	case time.Since(f.at) > feedPatience:
		w.tally.problem(func(r *Result) { r.BrokenFlows++ }, w.name+" was silent at the end")
	default:
		w.tally.change(func(r *Result) { r.Feeds++ })
	}
}

// feedPatience is the silence at the end of the run above which a feed counts as broken.
const feedPatience = 2 * time.Second

// downloads fetches objects one after the other.
func (w *worker) downloads(starting, settling context.Context) {
	for n := 0; starting.Err() == nil; n++ {
		w.download(settling, fmt.Sprintf("%s-%d", w.name, n))
		w.pause(starting)
	}
}

func (w *worker) download(ctx context.Context, object string) {
	data, err := w.client.Download(ctx, object)
	switch {
	case err != nil:
		w.tally.problem(func(r *Result) { r.BrokenFlows++ }, object+": "+err.Error())
	case !bytes.Equal(data, content.Object(object, w.config.ObjectBytes)):
		w.tally.problem(func(r *Result) { r.WrongAnswers++ }, object+" is another object or not whole")
	default:
		w.done++
		w.tally.change(func(r *Result) { r.Downloads++ })
	}
}
