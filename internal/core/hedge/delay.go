package hedge

import (
	"math/bits"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

const (
	// percentile is the share of the requests that are answered within the usual time.
	percentile = 0.95
	// MinSamples is the number of times below which a percentile is not used. With fewer,
	// two or three slow requests would decide about it.
	MinSamples = 50
	// newestWindow is the length of each of the two windows of the newest times. They must
	// be short, because hedging goes on until they show that a whole service is slow.
	newestWindow = 5 * time.Second
	// usualWindow is the length of each of the two windows of usual times.
	usualWindow = 30 * time.Second
	// slowFactor is how many times the usual time the newest times must reach for a service
	// to count as slow as a whole.
	slowFactor = 2
	// refreshInterval is how long computed percentiles are used.
	refreshInterval = 250 * time.Millisecond
)

// Delay measures the usual response time of a class of requests, or the usual opening time of
// the flows to a service: the 95th percentile of the last minute. It takes 2.5 kB.
//
// Times first count as newest, for 5 to 10 s, and then as usual, for 30 to 60 s. So the first
// slow requests of an outage do not change what is usual before the outage can be recognized.
type Delay struct {
	newest, usual rotating
	// at is when the results below were computed.
	at    model.Time
	known bool
	slow  bool
	delay time.Duration
}

// Observe records a time.
func (d *Delay) Observe(now model.Time, t time.Duration) {
	d.rotate(now)
	d.newest.current.add(t)
}

// Usual returns the time within which 95 % of the requests are answered. ok is false if there
// are fewer than MinSamples times of the last minute.
func (d *Delay) Usual(now model.Time) (t time.Duration, ok bool) {
	d.refresh(now)
	return d.delay, d.known
}

// Slow reports whether the class or service is slow as a whole: the percentile of the newest
// times is more than twice the usual one. Repeating requests would then only add load.
func (d *Delay) Slow(now model.Time) bool {
	d.refresh(now)
	return d.slow
}

func (d *Delay) refresh(now model.Time) {
	if d.at != 0 && now.Sub(d.at) < refreshInterval {
		return
	}
	d.rotate(now)
	d.at = now
	d.delay, d.known = d.usual.percentile()
	newest, ok := d.newest.percentile()
	d.slow = ok && d.known && newest > slowFactor*d.delay
}

// rotate starts new windows if the current ones have ended. Times that are no longer among
// the newest become usual ones.
func (d *Delay) rotate(now model.Time) {
	if now.Sub(d.newest.start) < newestWindow {
		return
	}
	if now.Sub(d.usual.start) >= usualWindow {
		d.usual.rotate(now, usualWindow)
	}
	if age := now.Sub(d.newest.start); age < usualWindow {
		d.usual.current.merge(&d.newest.previous)
		if age >= 2*newestWindow {
			d.usual.current.merge(&d.newest.current)
		}
	}
	d.newest.rotate(now, newestWindow)
}

// rotating holds the times of the current and the previous window.
type rotating struct {
	start             model.Time // of the current window
	current, previous histogram
}

// rotate makes the current window the previous one. A window that ended more than its length
// ago is left out.
func (r *rotating) rotate(now model.Time, length time.Duration) {
	if now.Sub(r.start) < 2*length {
		r.previous = r.current
	} else {
		r.previous = histogram{}
	}
	r.start, r.current = now, histogram{}
}

// percentile returns the percentile of both windows. ok is false if there are fewer than
// MinSamples times.
func (r *rotating) percentile() (t time.Duration, ok bool) {
	n := r.current.total + r.previous.total
	if n < MinSamples {
		return 0, false
	}
	above := uint32((1 - percentile) * float64(n)) // times that may be longer
	for i := bucketCount - 1; ; i-- {
		count := r.current.counts[i] + r.previous.counts[i]
		if count > above {
			return upperBound(i), true
		}
		above -= count
	}
}

// Buckets of a histogram: eight of equal width up to 0.5 ms, then eight for each doubling, up
// to 68 s. The upper bound of a bucket is at most 12.5 % above its lower bound from then on.
const (
	bucketShift = 16 // the unit is 2^16 ns, 65.5 us
	subBuckets  = 8
	bucketCount = 19 * subBuckets
)

// histogram counts times by logarithmic buckets of fixed bounds.
type histogram struct {
	total  uint32
	counts [bucketCount]uint32
}

func (h *histogram) add(t time.Duration) {
	h.total++
	h.counts[bucketOf(t)]++
}

func (h *histogram) merge(o *histogram) {
	h.total += o.total
	for i, n := range o.counts {
		h.counts[i] += n
	}
}

// bucketOf returns the bucket of a time. Longer times than the last bucket holds are counted
// there.
func bucketOf(t time.Duration) int {
	units := uint64(max(t, 0)) >> bucketShift
	if units < subBuckets {
		return int(units)
	}
	exponent := bits.Len64(units) - 4 // units>>exponent is from 8 to 15
	return min((exponent+1)*subBuckets+int(units>>exponent)-subBuckets, bucketCount-1)
}

// upperBound returns the upper bound of a bucket.
func upperBound(bucket int) time.Duration {
	if bucket < subBuckets {
		return time.Duration(bucket+1) << bucketShift
	}
	exponent := bucket/subBuckets - 1
	return time.Duration(bucket%subBuckets+subBuckets+1) << (exponent + bucketShift)
}
