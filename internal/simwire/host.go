package simwire

import (
	"bufio"
	"fmt"
	"io"

	"tealledge/internal/settings"
	"tealledge/policy"
)

// Serve runs the fronts that the input starts, until the input ends. Fronts share no state.
func Serve(in io.Reader, out io.Writer) error {
	dec := NewDecoder(bufio.NewReaderSize(in, 1<<16))
	w := bufio.NewWriterSize(out, 1<<16)
	fronts := map[uint32]*policy.Front{}
	for {
		batch, err := dec.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		var reply Reply
		for _, event := range batch.Events {
			if err := handle(fronts, batch.Now, event, &reply); err != nil {
				return err
			}
		}
		if _, err := reply.WriteTo(w); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// handle passes one event to its front. A panic in the front is reported as a fault record.
func handle(fronts map[uint32]*policy.Front, now policy.Time, event FrontEvent, reply *Reply) (err error) {
	defer func() {
		if p := recover(); p != nil {
			reply.Fault(event.Front, fmt.Sprint("the decision module failed: ", p))
		}
	}()
	switch ev := event.Event.(type) {
	case Start:
		cfg, unusable := settings.Parse(ev.Settings)
		for _, text := range unusable {
			if err := reply.Add(event.Front, policy.Log{Text: "settings: " + text}); err != nil {
				return err
			}
		}
		fronts[event.Front] = policy.New(cfg, ev.Seed)
		return nil
	case Stop:
		delete(fronts, event.Front)
		return nil
	}
	front := fronts[event.Front]
	if front == nil {
		return nil
	}
	for _, a := range front.Handle(now, event.Event) {
		if err := reply.Add(event.Front, a); err != nil {
			return err
		}
	}
	return nil
}
