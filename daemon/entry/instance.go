package entry

import (
	"context"
	"strconv"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/build"
)

var instanceColumns = []string{"data_center", "state", "revision", "behind", "age", "in_flight", "version", "uptime", "tokens_spared"}

// instanceRow returns this instance's row of SHOW INSTANCES.
func (d *Daemon) instanceRow() ([]string, []*lilacv1.QueryRow) {
	state := "ready"
	if err := d.entry.Ready(); err != nil {
		state = err.Error()
	}
	newest, age := d.watcher.LatestKnown()
	revision := d.watcher.Revision()
	return instanceColumns, []*lilacv1.QueryRow{{Values: []string{
		d.settings.DataCenter, state, strconv.FormatUint(revision, 10),
		strconv.FormatUint(max(newest, revision)-revision, 10), age.Round(time.Millisecond).String(),
		strconv.Itoa(d.entry.relay.InFlight()), build.Version, time.Since(d.started).Round(time.Second).String(), d.tokensSaved(),
	}}}
}

// tokensSaved is empty if the core does not answer within statsTimeout.
func (d *Daemon) tokensSaved() string {
	ctx, cancel := context.WithTimeout(context.Background(), statsTimeout)
	defer cancel()
	stats, err := d.entry.relay.Stats(ctx)
	if err != nil {
		return ""
	}
	return strconv.FormatUint(stats.SavedTokens.Canceled+stats.SavedTokens.Expired+stats.SavedTokens.Moved, 10)
}
