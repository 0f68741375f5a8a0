#Dur: string & =~"^([0-9]+(\\.[0-9]+)?(ms|s|m))+$"

// One injected fault. It starts at the time `at` and lasts for the duration `for`. `part` is the
// fraction of targets that it affects, `size` its strength; the meaning depends on the fault.
#Trouble: {
	name: "burst" | "hot_caller" | "hot_key" | "hang" | "crash" | "fast_errors" | "slow" | "shared_slow" |
		"heavy_tail" | "pauses" | "vanish" | "throttle" | "give_up" | "answer_lost" | "class_fail" |
		"idle_reap" | "handshake_slow" | "deploy" | "preempt" | "discovery_down" | "balancer_crash" |
		"balancer_roll" | "balancer_stall" | "address_dead" |
		"catalogue_down" | "catalogue_half" | "catalogue_back" | "flap"
	at:   #Dur
	for:  #Dur
	part: number & >0 & <=1 | *0.34
	size: number & >=0 | *0
}

#Script: {
	seed:     int & >=0 | *1
	relays:   int & >=1 & <=16 | *3
	clients:  int & >=1 & <=64 | *9
	partners: int & >=1 & <=64 | *6
	// Messages per second of all clients together.
	rate:  number & >0 | *150
	lasts: #Dur | *"20s"
	// Relays discover endpoints and one another through a service catalogue instead of a list file.
	catalogue: bool | *false
	troubles: [...#Trouble] | *[]
}
