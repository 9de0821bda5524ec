package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// logName is the name of a run's log, which is written beside the logs of the nodes.
const logName = "soak.log"

// newLog returns a log with wall clock times, like the logs of the nodes, and a function
// that closes it.
func newLog(directory string) (*zap.Logger, func(), error) {
	file, err := os.Create(filepath.Join(directory, logName))
	if err != nil {
		return nil, nil, fmt.Errorf("soak: create the run's log: %w", err)
	}
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	return zap.New(zapcore.NewCore(encoder, file, zapcore.InfoLevel)), func() { file.Close() }, nil
}

// logFault logs the begin of a fault. duration is zero if the end is not known yet.
func (l *ledger) logFault(fault string, node int, duration time.Duration) {
	l.log.Info("fault_began", l.elapsed(), zap.String("fault", fault), zap.Int("node", node), zap.Duration("for", duration))
}

// elapsed is the time since the ledger was created, in which findings are stated.
func (l *ledger) elapsed() zap.Field { return zap.Duration("elapsed", l.now()) }
