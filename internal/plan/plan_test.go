package plan_test

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/plan"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

func TestPlan(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Plan")
}

type route struct {
	Name    string       `json:"name"`
	Host    string       `json:"host"`
	Prefix  string       `json:"prefix"`
	Timeout clock.Millis `json:"timeout"`
	Shares  []struct {
		Service string  `json:"service"`
		Weight  float64 `json:"weight"`
	} `json:"shares"`
}

type script struct {
	Name      string  `json:"name"`
	Routes    []route `json:"routes"`
	Customers []struct {
		Name string   `json:"name"`
		Keys []string `json:"keys"`
	} `json:"customers"`
	// Error is a substring of the validation error.
	Error string `json:"error"`
	// Finds maps "HOST PATH" to the name of the expected route; empty for none.
	Finds map[string]string `json:"finds"`
}

func build(script script) (*plan.Plan, error) {
	var routes []plan.Route
	for _, entry := range script.Routes {
		route := plan.Route{Name: entry.Name, Host: entry.Host, Prefix: entry.Prefix, Timeout: entry.Timeout}
		for _, share := range entry.Shares {
			route.Shares = append(route.Shares, plan.Share{Service: share.Service, Weight: share.Weight})
		}
		routes = append(routes, route)
	}
	var customers []plan.Customer
	for _, entry := range script.Customers {
		customers = append(customers, plan.Customer{Name: entry.Name, Keys: entry.Keys})
	}
	return plan.New(1, routes, []plan.Service{{Name: "desk"}}, customers, plan.Limits{})
}

var _ = Describe("a plan", func() {
	text, err := os.ReadFile("testdata/plans.json")
	if err != nil {
		panic(err)
	}
	var scripts []script
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			built, err := build(script)
			if script.Error != "" {
				Expect(err).To(MatchError(ContainSubstring(script.Error)))
				return
			}
			Expect(err).NotTo(HaveOccurred())
			for target, want := range script.Finds {
				host, path, _ := strings.Cut(target, " ")
				found, ok := built.Route(host, path)
				Expect(ok).To(Equal(want != ""), target)
				Expect(found.Name).To(Equal(want), target)
			}
		})
	}
})
