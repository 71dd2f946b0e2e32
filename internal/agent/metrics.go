package agent

import (
	"expvar"

	"github.com/bramleyrack/bramleyrack/internal/telemetry"
)

// metrics holds the counters of an agent, which telemetry publishes under the names in newMetrics.
type metrics struct {
	flows         *expvar.Int
	flowsTotal    *expvar.Int
	feeds         *expvar.Int
	calls         *expvar.Int
	refusals      *expvar.Int
	downloads     *expvar.Int
	badAnswers    *expvar.Int
	accepted      *expvar.Int
	passed        *expvar.Int
	refusedFlows  *expvar.Int
	resets        *expvar.Int
	malformed     *expvar.Int
	otherService  *expvar.Int
	otherServer   *expvar.Int
	inboundDrops  *expvar.Int
	outboundDrops *expvar.Int
	heardDrops    *expvar.Int
	noBalancer    *expvar.Int
	sendErrors    *expvar.Int
}

func newMetrics() *metrics {
	return &metrics{
		flows:         telemetry.Counter("flows"),
		flowsTotal:    telemetry.Counter("flows_total"),
		feeds:         telemetry.Counter("feeds"),
		calls:         telemetry.Counter("calls"),
		refusals:      telemetry.Counter("refusals"),
		downloads:     telemetry.Counter("downloads"),
		badAnswers:    telemetry.Counter("bad_answers"),
		accepted:      telemetry.Counter("first_packets_accepted"),
		passed:        telemetry.Counter("first_packets_passed"),
		refusedFlows:  telemetry.Counter("first_packets_refused"),
		resets:        telemetry.Counter("resets"),
		malformed:     telemetry.Counter("malformed_datagrams"),
		otherService:  telemetry.Counter("other_service_datagrams"),
		otherServer:   telemetry.Counter("other_server_datagrams"),
		inboundDrops:  telemetry.Counter("inbound_drops"),
		outboundDrops: telemetry.Counter("outbound_drops"),
		heardDrops:    telemetry.Counter("heard_drops"),
		noBalancer:    telemetry.Counter("no_balancer_drops"),
		sendErrors:    telemetry.Counter("send_errors"),
	}
}
