// Package logging creates the loggers of the parts of a process. The messages of
// a part have a fixed prefix, for example "flow: ".
package logging

import (
	"io"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Logs creates loggers that write to one destination.
type Logs struct {
	base logr.Logger
}

// New returns loggers that write JSON lines to w. The level is debug, info or
// error; an unknown level is an error.
func New(w io.Writer, level string) (*Logs, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), zapcore.Lock(zapcore.AddSync(w)), parsed)
	return &Logs{base: zapr.NewLogger(zap.New(core))}, nil
}

// Part returns the logger of a part. Its messages start with "<part>: ".
func (l *Logs) Part(part string) logr.Logger {
	return l.base.WithSink(prefixSink{LogSink: l.base.GetSink(), prefix: part + ": "})
}

// prefixSink puts a prefix before each message.
type prefixSink struct {
	logr.LogSink
	prefix string
}

func (s prefixSink) Info(level int, msg string, keysAndValues ...any) {
	s.LogSink.Info(level, s.prefix+msg, keysAndValues...)
}

func (s prefixSink) Error(err error, msg string, keysAndValues ...any) {
	s.LogSink.Error(err, s.prefix+msg, keysAndValues...)
}

func (s prefixSink) WithValues(keysAndValues ...any) logr.LogSink {
	return prefixSink{LogSink: s.LogSink.WithValues(keysAndValues...), prefix: s.prefix}
}

func (s prefixSink) WithName(name string) logr.LogSink {
	return prefixSink{LogSink: s.LogSink.WithName(name), prefix: s.prefix}
}
