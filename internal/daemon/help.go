package daemon

const help = `Runs one role of the load balancer. Every setting is a flag and an environment variable.
With --settings FILE, lines HIB_NAME=value in the file set values that neither of them sets.

Examples:
  hibiscuslug embedded --demo
  hibiscuslug entry --help`

const entryHelp = `Accepts callers' requests and places them on engines.

Examples:
  hibiscuslug entry --name entry1 --zone zone1 --listen 127.0.0.1:7000 --control 127.0.0.1:7100 --http-listen 127.0.0.1:8080
  HIB_NAME=entry2 HIB_ZONE=zone2 hibiscuslug entry --control 127.0.0.1:7100 --peer 127.0.0.1:7000 --http-listen 127.0.0.1:8081 --metrics-listen 127.0.0.1:9101`

const endpointHelp = `Runs attempts of requests on the engines of an endpoint VM.

Examples:
  hibiscuslug endpoint --name endpoint1 --zone zone1 --entry 127.0.0.1:7000 --engine model,engine1,http://127.0.0.1:9000,guide-1
  hibiscuslug endpoint --name endpoint2 --zone zone1 --entry 127.0.0.1:7000 --engine order,desk1,http://127.0.0.1:9001,desk --slots 2`

const controlHelp = `Stores the configuration on disk as a member of the control group.

Example:
  hibiscuslug control --name control1 --zone zone1 --listen 127.0.0.1:7100 --data /var/lib/hibiscuslug`

const gatewayHelp = `Accepts callers' HTTP requests and forwards them to endpoints.

Examples:
  hibiscuslug gateway --name gateway1 --zone zone1 --listen 127.0.0.1:7000 --http-listen 127.0.0.1:8080 --seed 127.0.0.1
  hibiscuslug gateway --settings /etc/hibiscuslug.env`

const agentHelp = `Lets the control leader read the engine on the same VM and give it orders.

Example:
  hibiscuslug agent --name agent1 --zone zone1 --listen 127.0.0.1:7000 --engine-address 127.0.0.1:9000`

const embeddedHelp = `Runs control, entry and endpoint processes of three availability zones with fake engines in one process.

Examples:
  hibiscuslug embedded
  hibiscuslug embedded --demo
  hibiscuslug embedded --demo --demo-load 30s --demo-seed 7`
