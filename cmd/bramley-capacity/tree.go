package main

import (
	"fmt"
	"strings"

	"github.com/bramleyrack/bramleyrack/settings"
)

const (
	// upstreamsPerService is the mean number of upstreams of a service.
	upstreamsPerService = 10
	// placesPerTree is the number of places over which the upstreams are distributed.
	placesPerTree = 19
)

// treeText returns a synthetic settings tree with the given number of upstreams.
func treeText(upstreams int) string {
	var text strings.Builder
	services := max(1, upstreams/upstreamsPerService)
	text.WriteString("firm: synthetic\npolicy: {slots: 5}\nservices:\n")
	for i := range services {
		fmt.Fprintf(&text, "  service-%d: {number: %d, address: \"10.200.%d.%d:8443\"}\n", i, i+1, i/250, i%250+1)
	}
	text.WriteString("places:\n")
	for place := range placesPerTree {
		writePlace(&text, place, upstreams, services)
	}
	return text.String()
}

func writePlace(text *strings.Builder, place, upstreams, services int) {
	fmt.Fprintf(text, "  place-%d:\n    services:\n", place)
	for service := range services {
		header := fmt.Sprintf("      service-%d:\n        upstreams:\n", service)
		for i := service; i < upstreams; i += services {
			if i/services%placesPerTree != (place+service)%placesPerTree {
				continue
			}
			text.WriteString(header)
			header = ""
			host := fmt.Sprintf("10.%d.%d.%d", i/62500, i/250%250, i%250+1)
			fmt.Fprintf(text, "          server-%d: {number: %d, agent: \"%s:9001\", peer: \"%s:9101\", url: \"http://%s:9201\"}\n",
				i, i+1, host, host, host)
		}
	}
}

func parseTree(upstreams int) (*settings.Tree, error) {
	return settings.Parse([]byte(treeText(upstreams)), 1)
}
