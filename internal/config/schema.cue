// The schema of a relay's configuration (#Config) and of its endpoint list (#List), with the defaults.
// The comment of a field is shown to the operator with an error in that field.

// Durations have Go syntax ("250ms", "4s").
#Dur:  string & =~"^([0-9]+(\\.[0-9]+)?(ns|us|ms|s|m|h))+$"
#Name: string & =~"^[a-z0-9][a-z0-9._-]{0,62}$"
#Addr: string & =~"^.+:[0-9]{1,5}$"

// TLS for incoming connections. Certificate and key are PEM files that are checked for changes every second
// and reloaded without a restart. The key must not be readable by all users of the machine.
#TLS: {
	cert: string & !=""
	key:  string & !=""
	// File with the authorities of client certificates; the common name of a certificate is the user name.
	clientCA:      string | *""
	requireClient: bool | *false
}

#Class: {
	name: #Name
	// Latency target: a message delivered within it counts with its full worth.
	aim: #Dur
	// Time after which a message is worth nothing and is given up.
	deadline: #Dur
	// Value of a message delivered within aim; weighs messages against each other.
	worth: number & >=0 | *1
	// Share of worth that is left at the deadline.
	lateShare: number & >=0 & <=1 | *0
	// safe: idempotent; keyed: the partner deduplicates repeats within window; unsafe: at most once.
	effect: "safe" | "keyed" | "unsafe"
	// Time for which the partner recognises repeats of a keyed message.
	window: #Dur | *"0s"
	// The partner deduplicates only within a zone, so that a repeat must go to the same zone.
	sameZone: bool | *false
	// Messages that share a key are sent one at a time, in order of arrival.
	ordered: bool | *false
	// Bytes by which this class may overdraw the empty budget for traffic between zones, for
	// the whole installation.
	overdraft: number & >=0 | *0
	// Limit on the bytes of this class between zones over the budget's window, for the whole installation;
	// 0 for none.
	crossing: number & >=0 | *0
	if effect == "keyed" {
		window: !="0s"
	}
}

#Kind: {
	name: #Name
	// Each endpoint has rate limits and health of its own, instead of sharing those of its partner.
	apart: bool | *false
	// The partner guarantees that a request refused with 429 or 503 was never executed.
	refusalNeverRan: bool | *false
	// Messages in one call. Batches are not supported.
	perCall: 1 | *1
}

#Partner: {
	name: #Name
	kind: #Name
	// Path of the calls.
	path: string & =~"^/[!-~]*$" | *"/"
	// Host header of the calls; "" for the endpoint's address.
	host: string & =~"^[!-~]*$" | *""
	// TLS for the calls: file of authorities ("" for the system's), client certificate and its key, and the name
	// that the partner's certificate must have ("" for that of the address).
	tls?: {
		ca:   string | *""
		cert: string | *""
		key:  string | *""
		name: string | *""
	}
}

// A Consul agent or server, a catalogue of endpoints.
#Consul: {
	name: #Name | *"consul"
	// host:port, with or without http:// or https:// before it.
	address:    string & !=""
	token:      string | *""
	tokenFile:  string | *""
	datacenter: string | *""
	namespace:  string | *""
	partition:  string | *""
	// Consul's consistency mode: stale accepts the answer of any server, consistent has the leader confirm it.
	consistency: "default" | "stale" | "consistent" | *"default"
	// Limit on the time since the server's last contact with its leader. Endpoints that are missing from an
	// older answer are not taken as removed.
	maxStale: #Dur | *"10s"
	// Longest wait of a blocking query.
	wait: #Dur | *"1m"
	tls?: {
		ca:   string | *""
		cert: string | *""
		key:  string | *""
		name: string | *""
	}
	services: [...{
		service: string & !=""
		partner: #Name
		// Tags that an instance must all have.
		tags: [...string] | *[]
		// Filter expression in the syntax of Consul's API.
		filter: string | *""
		// Zone of instances where neither the service's nor the node's metadata has the key "zone".
		zone: #Name | *"default"
		// Names of the tagged addresses to reach an instance by, in order of preference, besides its own address.
		tagged: [...string] | *[]
		// use: critical instances get no new calls; ignore: health is read but not acted on, apart from maintenance
		// mode, which ends new calls; barred: health is not read, only the catalogue is, and maintenance mode goes
		// unnoticed.
		health: "use" | "ignore" | "barred" | *"ignore"
	}] | *[]
}

#Config: {
	relay: {
		name:  #Name | *"relay-1"
		// Zone of this relay; "" for the first one under zones.
		zone: string | *""
		// Number of this relay in the fleet, from 0.
		index: int & >=0 | *0
		// Number of relays in the fleet.
		fleet: int & >=1 | *1
		// Seed of the random decisions; 0 for one from the clock.
		seed: int & >=0 | *0
		// Limit on calls in flight.
		workers: int & >=1 & <=65536 | *64
		// Limit on messages held, waiting or in flight.
		held: int & >=1 & <=1000000 | *4096
		// Limit on attempts for one message.
		attempts: int & >=1 & <=64 | *6
		// Time resolution of the relay.
		tick: #Dur | *"5ms"
		// Calls in flight may be cancelled.
		cancels: bool | *true
		// Count bytes by class, partner and zone.
		accounting: bool | *true
		// The rates in endpoint lists are what a partner accepts from all relays together.
		listedRates: bool | *false
		// Longest wait that refused clients are advised of; 0s for no advice.
		maxRetryAfter: #Dur | *"10s"
		// Time after which idle connections to endpoints are closed.
		connIdle: #Dur | *"30s"
		// After aim, the worth halves with each further aim; otherwise it falls linearly.
		halving: bool | *false
		// Time for calls in flight to finish at an orderly shutdown.
		shutdown: #Dur | *"5s"
	}
	// Zones, each with the cost of a message sent to an endpoint there, as a share of the message's worth.
	zones: [...{name: #Name, fee: number & >=0 | *0}] | *[{name: "default", fee: 0}]
	classes: [#Class, ...#Class]
	kinds: [#Kind, ...#Kind]
	partners: [#Partner, ...#Partner]
	rules: {
		// Time after the deadline within which a final answer still counts as in time.
		answerGrace: #Dur | *"0s"
		// Time for which a draining endpoint may still be sent to.
		drainGrace: #Dur | *"1s"
		// Multiple of its present capacity above which a warming-up partner fails again, if the load stays that
		// high for the time fall.
		overloadFactor: number & >0 | *2
		// Window over which the load of a warming-up partner counts, see overloadFactor.
		fall: #Dur | *"2s"
		// Share of its capacity that a partner has when it returns from an outage.
		coldFrom: number & >=0 & <=1 | *0.2
		// Warm-up time after an outage, until a partner has its full capacity.
		cold: #Dur | *"10s"
		// Time for which a key is blocked after an attempt with an unknown outcome.
		orderSettle: #Dur | *"0s"
	}
	// File for traffic by class, zone and minute in JSON lines; rotated at 16 MB, with one old file kept.
	zoneRecords: string | *""
	// Budget for traffic to endpoints in other zones, for the whole installation.
	budget?: {
		// Bytes that may be sent and received in any window.
		bytes:  number & >0
		window: #Dur | *"60s"
		// Share of bytes that may be spent at once.
		burst: number & >0 & <=1 | *0.25
		// Share of the burst that is reserved for classes of higher worth.
		held: number & >=0 & <1 | *0.3
		// Assumed size of an exchange, both ways and in bytes, before one has been measured.
		first: number & >0 | *2048
	}
	limits: {
		// Bytes of one message's payload.
		body: int & >=1 & <=268435455 | *262144
		// Hand-ins that wait to be processed, shared fairly among clients.
		arrivals: int & >=1 | *4096
		// Bytes of the hand-ins that wait to be processed, shared fairly among clients.
		arrivalBytes: int & >=65536 | *67108864
		// Bytes of an endpoint list, and of one answer of a catalogue.
		listBytes: int & >=1 | *16777216
		// Message identities that are remembered to detect repeated hand-ins, and the retention of ended ones.
		identities: {
			count: int & >=1 | *200000
			keep:  #Dur | *"1h"
		}
	}
	mqtt: {
		listen: [...#Addr] | *["127.0.0.1:1883"]
		tlsListen: [...#Addr] | *[]
		tls?: #TLS
		// Limit on connections; further ones are closed at once.
		connections: int & >=1 | *20000
		// Limit on sessions; further ones are refused with reason code 0x97 (quota exceeded).
		sessions: int & >=1 | *20000
		// Receive Maximum of each connection.
		receiveMaximum: int & >=1 & <=65535 | *256
		// Topic Alias Maximum of each connection.
		topicAliases: int & >=0 & <=65535 | *16
		// Limit on the answers not yet delivered to one session; at the limit no messages are accepted from it.
		pending: int & >=1 | *4096
		// Longest session expiry that is granted.
		sessionExpiry: #Dur | *"1h"
		// Longest keep-alive that is granted to MQTT 5 clients; 0s for no limit.
		keepAlive: #Dur | *"10m"
		// Time limit for the CONNECT packet, and for the rest of a packet that has begun to arrive.
		handshake: #Dur | *"10s"
		// Limit on the bytes that wait to be written to one connection; above it the connection is closed.
		writeBuffer: int & >=4096 | *1048576
		// Limit on the bytes of incomplete packets, over all connections.
		partialBytes: int & >=65536 | *67108864
		// Users with the bcrypt hashes of their passwords. Without users anyone may connect, but only on loopback.
		users: [...{name: string & !="", bcrypt: string & =~"^\\$2[aby]\\$"}] | *[]
	}
	webpush: {
		listen: [...#Addr] | *[]
		tlsListen: [...#Addr] | *[]
		tls?: #TLS
		// Origins that are accepted as the audience of a VAPID token ("https://relay.example:8443").
		audience: [...string & =~"^https?://[!-~]+$"] | *[]
		// VAPID public keys and the resources they may push to: "class/partner", "class/*", "*/partner" or "*".
		// Without keys anyone may push, but only on loopback.
		keys: [...{key: string & =~"^[A-Za-z0-9_-]{87}$", resources: [...string] | *["*"]}] | *[]
		// Limit on connections.
		connections: int & >=1 | *5000
		// Limit on the bytes of incomplete requests, over all connections.
		partialBytes: int & >=65536 | *67108864
		// Limit on concurrent streams of one HTTP/2 connection.
		streams: int & >=1 & <=10000 | *250
		// Limit on messages kept, including ended ones.
		messages: int & >=1 | *100000
		// Limit on receipt subscriptions.
		receipts: int & >=1 | *10000
		// Limit on receipts not yet delivered to one subscription.
		pending: int & >=1 | *4096
		// Limit on long polls that wait.
		polls: int & >=1 | *10000
		// Longest wait of a long poll.
		poll: #Dur | *"30s"
		// Time after which a connection without a request is closed.
		idle: #Dur | *"2m"
		// Time limit for a TLS handshake, and for the rest of a request that has begun to arrive.
		handshake: #Dur | *"10s"
		// Limit on the bytes of a request's header.
		headerBytes: int & >=1024 | *16384
		// Limit on the bytes that wait to be written to one connection.
		writeBuffer: int & >=4096 | *1048576
	}
	tls: {
		// Limit on TLS handshakes computed in parallel; 0 for one per processor.
		handshakes: int & >=0 | *0
		// Remaining validity below which a warning is logged for a certificate.
		warn: #Dur | *"336h"
	}
	partnerCalls: {
		// Limit on the bytes of a response's header.
		headerBytes: int & >=256 | *16384
		// Limit on the bytes of a response's body.
		bodyBytes: int & >=0 | *1048576
		// Limit on idle connections kept to one endpoint.
		idlePerHost: int & >=0 | *64
		// Connections to one endpoint that are opened before a call needs them.
		spares: int & >=0 | *1
		// Limit on connections to one endpoint that are being set up; further calls wait.
		connecting: int & >=1 | *32
		// Age after which a connection is not reused; "0s" for no limit.
		connAge: #Dur | *"10m"
		// Limit on TLS sessions kept for resumption, over all addresses.
		sessions: int & >=1 | *4096
	}
	// Resolution of host names in endpoint lists.
	resolver: {
		// Recursive DNS servers to query; without any the system's resolver is used.
		servers: [...#Addr] | *[]
		// Time limit for one query.
		timeout: #Dur | *"2s"
		// TTL that is assumed for answers of the system's resolver, which reports none.
		ttl: #Dur | *"30s"
		// Time for which an answer is used past its TTL while no new one arrives.
		stale: #Dur | *"24h"
		// Limit on the addresses of one name that are used.
		addresses: int & >=1 & <=64 | *16
	}
	directory: {
		// File with an endpoint list; file or consul is required. For an endpoint that is in the file and in a
		// catalogue, the file's entry is used.
		file: string | *""
		// Consul catalogues to read endpoints from.
		consul: [...#Consul] | *[]
		// File that keeps the last good list of the catalogues, to start from while they are unreachable.
		saved: string | *""
		// Time from the disappearance of an endpoint from a catalogue, which ends new calls to it, to its removal.
		gone: #Dur | *"10s"
		// Time for which a disappearance of many endpoints at once must last before it is acted on.
		believe: #Dur | *"1m"
		// Time without a report after which a source yields to others that know the partner.
		trust: #Dur | *"1h"
	}
	// Write-ahead journal: with it, accepted messages survive a restart of the process.
	journal?: {
		// Directory of the journal, not shared with other relays.
		dir: string & !=""
		// Limit on the bytes on disk; above it no new messages are accepted.
		bytes: int & >=134217728 | *4294967296
		// Limit on the bytes that wait to be written; above it no new messages are accepted.
		queue: int & >=65536 | *67108864
		// Sync records to disk. Without it they survive a crash of the process, but not one of the machine.
		sync: bool | *true
	}
	// Fleet membership: relays register in the first catalogue and watch each other there. Until the first report
	// of it has arrived, relay.fleet is taken as the size.
	fleet?: {
		// Name of the service to register.
		service: #Name | *"basaltcross"
		// TTL of the registration's health check.
		ttl: #Dur | *"10s"
		// Time for which a lost relay still counts.
		late: #Dur | *"30s"
		// Time for which lost relays still count if a third of the fleet or more was lost at once.
		hold: #Dur | *"10m"
	}
	metrics: {
		// Address of the metrics listener, on loopback only; "" for none.
		listen: =~"^(127\\.[0-9.]+|localhost|\\[::1\\]):[0-9]{1,5}$" | *""
	}
	log: {
		level:  "debug" | "info" | "warn" | "error" | *"info"
		format: "json" | "console" | *"json"
	}
}

// An entry of the endpoint list.
#Endpoint: {
	// Address, and name of the endpoint.
	addr: #Addr
	// Addresses of an endpoint that has several: host:port, [ipv6]:port or unix:/path. With these, addr is only
	// the endpoint's name.
	addrs: [...string] | *[]
	partner: #Name
	zone:    #Name | *"default"
	// Listed rate in calls per second, 0 for none; see relay.listedRates.
	rate:    number & >=0 | *0
	state:   "ready" | "draining" | "gone" | *"ready"
}
#List: {
	endpoints: [...#Endpoint]
}
