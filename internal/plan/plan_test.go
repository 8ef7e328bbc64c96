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
	// Error is part of the reason for which the plan is refused.
	Error string `json:"error"`
	// Finds gives the route for "HOST PATH"; empty for none.
	Finds map[string]string `json:"finds"`
}

func build(script script) (*plan.Plan, error) {
	var routes []plan.Route
	for _, given := range script.Routes {
		made := plan.Route{Name: given.Name, Host: given.Host, Prefix: given.Prefix, Timeout: given.Timeout}
		for _, share := range given.Shares {
			made.Shares = append(made.Shares, plan.Share{Service: share.Service, Weight: share.Weight})
		}
		routes = append(routes, made)
	}
	var customers []plan.Customer
	for _, given := range script.Customers {
		customers = append(customers, plan.Customer{Name: given.Name, Keys: given.Keys})
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
			made, err := build(script)
			if script.Error != "" {
				Expect(err).To(MatchError(ContainSubstring(script.Error)))
				return
			}
			Expect(err).NotTo(HaveOccurred())
			for place, want := range script.Finds {
				host, path, _ := strings.Cut(place, " ")
				found, ok := made.Route(host, path)
				Expect(ok).To(Equal(want != ""), place)
				Expect(found.Name).To(Equal(want), place)
			}
		})
	}
})
