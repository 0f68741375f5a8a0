// Configuration of a relay. Durations are Go durations ("250ms", "4s").
#Dur:  string & =~"^([0-9]+(\\.[0-9]+)?(ns|us|ms|s|m|h))+$"
#Name: string & =~"^[a-z0-9][a-z0-9._-]{0,62}$"
#Addr: string & =~"^.+:[0-9]{1,5}$"

// Certificate and key in PEM files; both are looked at each second and replaced
// while running. The key must not be readable by everybody.
#TLS: {
	cert: string & !=""
	key:  string & !=""
	// Authorities of client certificates; the common name is the user then.
	clientCA:      string | *""
	requireClient: bool | *false
}

#Class: {
	name: #Name
	// Delivered within aim, a message earns all its worth; after the deadline nothing.
	aim:       #Dur
	deadline:  #Dur
	worth:     number & >=0 | *1
	lateShare: number & >=0 & <=1 | *0
	// safe: a repeat does no harm; keyed: the partner drops repeats of a key within window;
	// unsafe: must never take effect twice.
	effect:   "safe" | "keyed" | "unsafe"
	window:   #Dur | *"0s"
	sameZone: bool | *false
	ordered:  bool | *false
	// Of the budget for crossing zones, bytes of the installation: what this class
	// may draw past an empty budget, and a limit of its own over the window (0: none).
	overdraft: number & >=0 | *0
	crossing:  number & >=0 | *0
	if effect == "keyed" {
		window: !="0s"
	}
}

#Kind: {
	name: #Name
	// Endpoints are routes apart, each with limits and health of its own.
	apart: bool | *false
	// The partner promises that what it refuses with 429 or 503 never ran.
	refusalNeverRan: bool | *false
	// Messages in one call. Calls of several messages are not offered.
	perCall: 1 | *1
}

#Partner: {
	name: #Name
	kind: #Name
	path: string & =~"^/[!-~]*$" | *"/"
	host: string & =~"^[!-~]*$" | *""
	// Calls over TLS: authorities ("" for the system's), own certificate, and
	// the name that the partner's certificate must have ("" for the address's).
	tls?: {
		ca:   string | *""
		cert: string | *""
		key:  string | *""
		name: string | *""
	}
}

// A Consul agent or server.
#Consul: {
	name: #Name | *"consul"
	// host:port, or http:// or https:// and that.
	address:    string & !=""
	token:      string | *""
	tokenFile:  string | *""
	datacenter: string | *""
	namespace:  string | *""
	partition:  string | *""
	// Answers of any server, of one that its leader vouches for, or the library's default;
	// what lacks in an answer older than maxStale is not taken as gone.
	consistency: "default" | "stale" | "consistent" | *"default"
	maxStale:    #Dur | *"10s"
	wait:        #Dur | *"1m"
	tls?: {
		ca:   string | *""
		cert: string | *""
		key:  string | *""
		name: string | *""
	}
	services: [...{
		service: string & !=""
		partner: #Name
		// All of which an instance must have; and an expression of the API's filtering.
		tags: [...string] | *[]
		filter: string | *""
		// Where neither the service's nor the node's metadata has "zone".
		zone: #Name | *"default"
		// Tagged addresses to reach an instance by, besides its own.
		tagged: [...string] | *[]
		// use: critical instances take no new work; ignore: no decision depends on health;
		// barred: it is not even asked for, and maintenance is not seen.
		health: "use" | "ignore" | "barred" | *"ignore"
	}] | *[]
}

#Config: {
	relay: {
		name:  #Name | *"relay-1"
		// The zone that this relay is in; "" for the first of zones.
		zone:  string | *""
		index: int & >=0 | *0
		fleet: int & >=1 | *1
		seed:  int & >=0 | *0
		// Calls out at once; messages held, sent or not; attempts for one message.
		workers:     int & >=1 & <=65536 | *64
		held:        int & >=1 & <=1000000 | *4096
		attempts:    int & >=1 & <=64 | *6
		tick:        #Dur | *"5ms"
		cancels:     bool | *true
		// Count bytes by class, partner and zone.
		accounting: bool | *true
		listedRates: bool | *false
		// The longest wait that clients are advised; 0s tells none.
		maxRetryAfter: #Dur | *"10s"
		connIdle:      #Dur | *"30s"
		halving:       bool | *false
		// What is out at an ordinary shutdown gets this long to finish.
		shutdown: #Dur | *"5s"
	}
	zones: [...{name: #Name, fee: number & >=0 | *0}] | *[{name: "default", fee: 0}]
	classes: [#Class, ...#Class]
	kinds: [#Kind, ...#Kind]
	partners: [#Partner, ...#Partner]
	rules: {
		answerGrace:    #Dur | *"0s"
		drainGrace:     #Dur | *"1s"
		overloadFactor: number & >0 | *2
		fall:           #Dur | *"2s"
		coldFrom:       number & >=0 & <=1 | *0.2
		cold:           #Dur | *"10s"
		orderSettle:    #Dur | *"0s"
	}
	// File for traffic by class, zone and minute, JSON lines; 16 MB and one before.
	zoneRecords: string | *""
	// Budget for traffic to endpoints of other zones, of the whole installation.
	budget?: {
		bytes:  number & >0
		window: #Dur | *"60s"
		// Share of bytes that may go at once; share of that held for worthier classes.
		burst: number & >0 & <=1 | *0.25
		held:  number & >=0 & <1 | *0.3
		// Size of an exchange before any was seen.
		first: number & >0 | *2048
	}
	limits: {
		body:      int & >=1 & <=268435455 | *262144
		arrivals:  int & >=1 | *4096
		listBytes: int & >=1 | *16777216
		identities: {
			count: int & >=1 | *200000
			keep:  #Dur | *"1h"
		}
	}
	mqtt: {
		listen: [...#Addr] | *["127.0.0.1:1883"]
		tlsListen: [...#Addr] | *[]
		tls?: #TLS
		connections:    int & >=1 | *20000
		sessions:       int & >=1 | *20000
		receiveMaximum: int & >=1 & <=65535 | *256
		topicAliases:   int & >=0 & <=65535 | *16
		// Answers owed to one session; further messages are not taken from it.
		pending:       int & >=1 | *4096
		sessionExpiry: #Dur | *"1h"
		keepAlive:     #Dur | *"10m"
		// Time for a CONNECT, and for the rest of a packet that began.
		handshake:   #Dur | *"10s"
		writeBuffer: int & >=4096 | *1048576
		// Half packets of all connections together.
		partialBytes: int & >=65536 | *67108864
		// With no users anyone may connect, on loopback only.
		users: [...{name: string & !="", bcrypt: string & =~"^\\$2[aby]\\$"}] | *[]
	}
	webpush: {
		listen: [...#Addr] | *[]
		tlsListen: [...#Addr] | *[]
		tls?: #TLS
		// Origins that a VAPID token may be for ("https://relay.example:8443").
		audience: [...string & =~"^https?://[!-~]+$"] | *[]
		// VAPID public keys and the resources they may push to: "class/partner",
		// "class/*", "*/partner" or "*". Without keys anyone may, on loopback only.
		keys: [...{key: string & =~"^[A-Za-z0-9_-]{87}$", resources: [...string] | *["*"]}] | *[]
		connections: int & >=1 | *5000
		streams:     int & >=1 & <=10000 | *250
		// Messages kept, ended ones included; receipt subscriptions; receipts owed
		// to one of them; long polls that wait.
		messages: int & >=1 | *100000
		receipts: int & >=1 | *10000
		pending:  int & >=1 | *4096
		polls:    int & >=1 | *10000
		poll:     #Dur | *"30s"
		idle:     #Dur | *"2m"
		handshake:   #Dur | *"10s"
		headerBytes: int & >=1024 | *16384
		writeBuffer: int & >=4096 | *1048576
	}
	tls: {
		// Handshakes that compute at once; 0 for one a processor.
		handshakes: int & >=0 | *0
		// Certificates that end within this are warned of.
		warn: #Dur | *"336h"
	}
	partnerCalls: {
		headerBytes: int & >=256 | *16384
		bodyBytes:   int & >=0 | *1048576
		// Connections to one endpoint: kept idle; opened before a call asks for them;
		// set up at once, further calls wait; the age at which one is not used again
		// ("0s" for none).
		idlePerHost: int & >=0 | *64
		spares:      int & >=0 | *1
		connecting:  int & >=1 | *32
		connAge:     #Dur | *"10m"
		// TLS sessions kept to resume, over all addresses.
		sessions: int & >=1 | *4096
	}
	// Names in endpoint lists. DNS servers that are asked; with none the system is,
	// which tells no TTL: ttl stands for it.
	resolver: {
		servers: [...#Addr] | *[]
		timeout: #Dur | *"2s"
		ttl:     #Dur | *"30s"
		// How long an answer serves past its TTL while no other comes.
		stale: #Dur | *"24h"
		// Addresses of one name that are used.
		addresses: int & >=1 & <=64 | *16
	}
	directory: {
		// An endpoint list, and catalogues; at least one of them. What a file and a
		// catalogue both have is as the file says.
		file: string | *""
		consul: [...#Consul] | *[]
		// File for the last good list of the catalogues, to start with while they are away.
		saved: string | *""
		// An endpoint that vanishes from a catalogue takes no new work, and is forgotten
		// after gone; where much vanishes at once, nothing is believed for believe. A
		// source without news for trust yields to others that know the partner.
		gone:    #Dur | *"10s"
		believe: #Dur | *"1m"
		trust:   #Dur | *"1h"
	}
	// What is taken outlives the process: a folder of this relay's own. Past bytes on
	// disk, or queue bytes that wait for it, nothing new is taken. Without sync records
	// survive the process and not the machine.
	journal?: {
		dir:   string & !=""
		bytes: int & >=134217728 | *4294967296
		queue: int & >=65536 | *67108864
		sync:  bool | *true
	}
	// The fleet: relays register with the first catalogue, and follow each other there.
	// relay.fleet is believed until it was heard.
	fleet?: {
		service: #Name | *"basaltcross"
		ttl:     #Dur | *"10s"
		// A relay that died counts for late; where a third of them goes at once, for hold.
		late: #Dur | *"30s"
		hold: #Dur | *"10m"
	}
	metrics: {
		listen: =~"^(127\\.[0-9.]+|localhost|\\[::1\\]):[0-9]{1,5}$" | *""
	}
	log: {
		level:  "debug" | "info" | "warn" | "error" | *"info"
		format: "json" | "console" | *"json"
	}
}

// The endpoint list.
#Endpoint: {
	addr:    #Addr
	// Its addresses where it has several: host:port, [ipv6]:port, unix:/path. Then
	// addr is its name only.
	addrs: [...string] | *[]
	partner: #Name
	zone:    #Name | *"default"
	rate:    number & >=0 | *0
	state:   "ready" | "draining" | "gone" | *"ready"
}
#List: {
	endpoints: [...#Endpoint]
}
