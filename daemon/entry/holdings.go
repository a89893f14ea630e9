package entry

import "github.com/lilacbridge/lilacbridge/connection/holding"

// openHoldings opens the account of what the instance holds for others, if it is bounded.
func (e *Entry) openHoldings() {
	bytes := e.settings.Limits.HeldBytes
	if bytes == 0 {
		return
	}
	e.holdings = holding.NewStore(holding.Options{Bytes: bytes, Log: e.log})
	e.registry.MustRegister(holding.Collector(e.holdings))
}
