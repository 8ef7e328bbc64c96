package place

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"strconv"

	"github.com/hibiscuslug/hibiscuslug/internal/call"
	"github.com/hibiscuslug/hibiscuslug/internal/place"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// Each engine of the model has a fixed number of slots, a FIFO queue, a prefill that
// is shorter for a cached prefix, and a lognormal number of tokens at a fixed rate.
// Times are in milliseconds of virtual time.
const (
	slots         = 8
	utilization   = 0.85
	prefill       = 100.0
	prefillCached = 20.0
	tokenTime     = 20.0
	tokensMedian  = 40.0
	tokensSigma   = 1.0
	networkOneWay = 1.0
	reportEvery   = 1000.0
	reportLag     = 500.0
	cachedPrompts = 64
	prefixes      = 2000
	zipfExponent  = 1.1
	warmUp        = 20_000.0
)

type engine struct {
	info    *wire.EngineInfo
	name    string
	running int
	queue   []*job
	cache   *lru
	// loadIntegral is the number of requests at the engine, integrated over time
	// until integratedUntil.
	loadIntegral    float64
	integratedUntil float64
	// reported is the load that the entry VMs received last, as of reportedAt.
	reported   *wire.EngineLoad
	reportedAt float64
}

func (engine *engine) load() *wire.EngineLoad {
	return &wire.EngineLoad{
		Engine: engine.name, Slots: slots, Running: uint32(engine.running), Waiting: uint32(len(engine.queue)),
	}
}

// account adds the requests since the last call to the integral.
func (engine *engine) account(now float64) {
	engine.loadIntegral += float64(engine.running+len(engine.queue)) * (now - engine.integratedUntil)
	engine.integratedUntil = now
}

type job struct {
	entry   int
	arrived float64
	tokens  float64
	prefix  uint64
	// tried has the engines that refused the job, with the loads that they returned.
	tried  map[string]*wire.EngineLoad
	target int
}

// view is one entry VM's information about one engine: its last received load, and
// the requests sent and returned since then.
type view struct {
	load     *wire.EngineLoad
	loadTime float64
	sent     uint32
	returned uint32
	inFlight uint32
}

type event struct {
	at  float64
	run func()
}

type events []event

func (list events) Len() int                    { return len(list) }
func (list events) Less(first, second int) bool { return list[first].at < list[second].at }
func (list events) Swap(first, second int)      { list[first], list[second] = list[second], list[first] }
func (list *events) Push(value any)             { *list = append(*list, value.(event)) }
func (list *events) Pop() any {
	last := (*list)[len(*list)-1]
	*list = (*list)[:len(*list)-1]
	return last
}

// choose is a placement policy: it selects an engine from those that the entry VM
// knows. The second result has the job queued even if the engine is full.
type choose func(model *model, request *job, visible []int) (int, bool)

// model simulates engines and entry VMs in virtual time.
type model struct {
	random  *rand.Rand
	now     float64
	events  events
	engines []*engine
	// visible lists the engines that announce themselves to each entry VM.
	visible [][]int
	views   [][]view
	choose  choose
	placer  *place.Placer
	zipf    *rand.Zipf
	// next is each entry VM's round-robin counter.
	next []int

	firstTokens []float64
	hits        int
	lookups     int
	refusals    int
	placed      int
}

func newModel(seed uint64, engines, entries int, pick choose, withPrefix bool) *model {
	random := rand.New(rand.NewPCG(seed, 1))
	model := &model{random: random, choose: pick, placer: place.New("zone1", random.IntN), next: make([]int, entries)}
	for at := range engines {
		name := "engine" + strconv.Itoa(at)
		info := &wire.EngineInfo{Name: name, Kind: wire.Kind_KIND_MODEL, Models: []string{"model1"}}
		built := &engine{name: name, info: info, cache: newLRU(cachedPrompts)}
		built.reported = built.load()
		model.engines = append(model.engines, built)
	}
	if withPrefix {
		model.zipf = rand.NewZipf(random, zipfExponent, 1, prefixes-1)
	}
	model.subscribe(entries)
	return model
}

// subscribe announces every engine to its subset of the entry VMs.
func (model *model) subscribe(entries int) {
	names := make([]string, entries)
	index := map[string]int{}
	for at := range entries {
		names[at] = "entry" + strconv.Itoa(at)
		index[names[at]] = at
	}
	model.visible = make([][]int, entries)
	model.views = make([][]view, entries)
	for at, engine := range model.engines {
		for _, name := range place.Subset(engine.name, names, fanOut(len(model.engines), entries)) {
			model.visible[index[name]] = append(model.visible[index[name]], at)
		}
	}
	for entry := range entries {
		model.views[entry] = make([]view, len(model.engines))
		for at, engine := range model.engines {
			model.views[entry][at].load = engine.reported
		}
	}
}

// fanOut returns the number of entry VMs that each engine announces itself to.
func fanOut(engines, entries int) int {
	if engines <= 64 {
		return entries
	}
	return 3
}

func (model *model) schedule(after float64, run func()) {
	heap.Push(&model.events, event{at: model.now + after, run: run})
}

// simulate runs the warm-up, then measures for a span of virtual time.
func (model *model) simulate(span float64) {
	model.schedule(0, model.arrive)
	for at := range model.engines {
		model.schedule(model.random.Float64()*reportEvery, func() { model.report(at) })
	}
	measuring := false
	for model.now < warmUp+span {
		next := heap.Pop(&model.events).(event)
		model.now = next.at
		if !measuring && model.now >= warmUp {
			measuring = true
			model.reset()
		}
		next.run()
	}
	for _, engine := range model.engines {
		engine.account(model.now)
	}
}

func (model *model) reset() {
	model.firstTokens, model.hits, model.lookups, model.refusals, model.placed = nil, 0, 0, 0, 0
	for _, engine := range model.engines {
		engine.loadIntegral, engine.integratedUntil = 0, model.now
	}
}

func (model *model) arrive() {
	capacity := float64(len(model.engines)*slots) / (prefill + tokenTime*tokensMedian*math.Exp(tokensSigma*tokensSigma/2))
	model.schedule(model.random.ExpFloat64()/(capacity*utilization), model.arrive)
	request := &job{
		entry: model.random.IntN(len(model.visible)), arrived: model.now,
		tokens: tokensMedian * math.Exp(tokensSigma*model.random.NormFloat64()),
	}
	if model.zipf != nil {
		request.prefix = model.zipf.Uint64() + 1
	}
	model.placed++
	model.place(request)
}

func (model *model) place(request *job) {
	target, queue := model.choose(model, request, model.visible[request.entry])
	request.target = target
	view := &model.views[request.entry][target]
	view.sent++
	view.inFlight++
	model.schedule(networkOneWay, func() { model.receive(request, queue) })
}

// receive handles a job at the endpoint process. It queues the job, or refuses it
// immediately if the engine is full and the entry VM did not ask for queueing.
func (model *model) receive(request *job, queue bool) {
	engine := model.engines[request.target]
	if !queue && engine.running >= slots {
		model.refusals++
		load := engine.load()
		model.schedule(networkOneWay, func() { model.refused(request, load) })
		return
	}
	engine.account(model.now)
	engine.queue = append(engine.queue, request)
	model.start(engine)
}

func (model *model) refused(request *job, load *wire.EngineLoad) {
	model.updateView(request.entry, request.target, load)
	if request.tried == nil {
		request.tried = map[string]*wire.EngineLoad{}
	}
	request.tried[load.GetEngine()] = load
	model.place(request)
}

// updateView stores a load that an entry VM received with an answer or a refusal.
func (model *model) updateView(entry, target int, load *wire.EngineLoad) {
	view := &model.views[entry][target]
	view.inFlight--
	view.load, view.loadTime, view.sent, view.returned = load, model.now, 0, 0
}

func (model *model) start(engine *engine) {
	for engine.running < slots && len(engine.queue) > 0 {
		request := engine.queue[0]
		engine.queue = engine.queue[1:]
		engine.running++
		prefillTime := prefill
		if request.prefix != 0 {
			model.lookups++
			if engine.cache.touch(request.prefix) {
				model.hits++
				prefillTime = prefillCached
			}
		}
		model.firstTokens = append(model.firstTokens, model.now+prefillTime+networkOneWay-request.arrived)
		model.schedule(prefillTime+request.tokens*tokenTime, func() { model.finish(engine, request) })
	}
}

func (model *model) finish(engine *engine, request *job) {
	engine.account(model.now)
	engine.running--
	model.start(engine)
	load := engine.load()
	model.schedule(networkOneWay, func() { model.updateView(request.entry, request.target, load) })
}

// report sends an engine's load to the entry VMs. Views with a more recent load keep
// it.
func (model *model) report(at int) {
	load, taken := model.engines[at].load(), model.now
	model.schedule(reportEvery, func() { model.report(at) })
	model.schedule(reportLag, func() {
		model.engines[at].reported, model.engines[at].reportedAt = load, taken
		for entry := range model.views {
			if view := &model.views[entry][at]; view.loadTime < taken {
				view.load, view.loadTime, view.sent, view.returned = load, taken, 0, 0
			}
		}
	})
}

// candidates returns the placer's input for the engines that an entry VM knows.
func (model *model) candidates(entry int, visible []int) []place.Candidate {
	list := make([]place.Candidate, 0, len(visible))
	for _, at := range visible {
		view := model.views[entry][at]
		list = append(list, place.Candidate{
			Zone: "zone1", Load: view.load, LoadTime: clock.Millis(view.loadTime), Sent: view.sent, Returned: view.returned, InFlight: view.inFlight,
			Engine: model.engines[at].info,
		})
	}
	return list
}

func (model *model) request(request *job) call.Call {
	return call.Call{Kind: wire.Kind_KIND_MODEL, Model: "model1", PrefixHash: request.prefix}
}

func clockOf(model *model) clock.Millis { return clock.Millis(model.now) }
