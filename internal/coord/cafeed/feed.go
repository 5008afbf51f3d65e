// Package cafeed delivers events from a publisher to its subscribers, in order
// and without loss. Publishing never blocks.
package cafeed

import "sync"

// Feed delivers each published value to all subscriptions. The zero value is
// ready to use.
type Feed[T any] struct {
	mu     sync.Mutex
	subs   []*Subscription[T]
	closed bool
}

// Subscribe returns a subscription to the values published from now on.
func (f *Feed[T]) Subscribe() *Subscription[T] {
	c := make(chan T)
	s := &Subscription[T]{
		C: c, c: c, feed: f,
		wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s.ended = f.closed
	f.subs = append(f.subs, s)
	go s.deliver()
	return s
}

// Publish appends the values to the queue of each subscription.
func (f *Feed[T]) Publish(values ...T) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.subs {
		s.queue = append(s.queue, values...)
		s.notify()
	}
}

// Close ends the feed. Subscriptions deliver the values in their queues and then
// close C.
func (f *Feed[T]) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for _, s := range f.subs {
		s.ended = true
		s.notify()
	}
}

func (f *Feed[T]) remove(s *Subscription[T]) {
	f.mu.Lock()
	defer f.mu.Unlock()
	remaining := make([]*Subscription[T], 0, len(f.subs))
	for _, o := range f.subs {
		if o != s {
			remaining = append(remaining, o)
		}
	}
	f.subs = remaining
}

// Subscription delivers the values of a feed on C, in the order in which they
// were published.
type Subscription[T any] struct {
	// C delivers the values. It is closed after Subscription.Close, or after the
	// last value once the feed is closed.
	C <-chan T

	c     chan T
	feed  *Feed[T]
	wake  chan struct{}
	done  chan struct{}
	once  sync.Once
	queue []T
	ended bool
}

// Close ends the subscription. It may be called more than once.
func (s *Subscription[T]) Close() {
	s.once.Do(func() {
		s.feed.remove(s)
		close(s.done)
	})
}

func (s *Subscription[T]) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Subscription[T]) takeQueue() (batch []T, ended bool) {
	s.feed.mu.Lock()
	defer s.feed.mu.Unlock()
	batch, s.queue = s.queue, nil
	return batch, s.ended
}

func (s *Subscription[T]) deliver() {
	defer close(s.c)
	for {
		batch, ended := s.takeQueue()
		for _, v := range batch {
			select {
			case s.c <- v:
			case <-s.done:
				return
			}
		}
		if ended {
			return
		}
		select {
		case <-s.wake:
		case <-s.done:
			return
		}
	}
}
