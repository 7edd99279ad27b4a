/**
 * The names of all logged events.
 */
export const EventName = {
	/** The process has read its settings and starts. */
	instanceStarted: 'instance-started',
	/** The instance accepts requests. */
	instanceReady: 'instance-ready',
	/** The instance no longer accepts requests. */
	instanceNotReady: 'instance-not-ready',
	/** A graceful shutdown has begun. */
	stopRequested: 'stop-requested',
	/** A graceful shutdown closes the connections of requests that have no whole answer yet. */
	requestsCutOff: 'requests-cut-off',
	/** A graceful shutdown has completed. */
	instanceStopped: 'instance-stopped',
	/** The process ends because of an error. */
	instanceFailed: 'instance-failed',
	/** The role of the voter, or its current leader, changed. */
	roleChanged: 'role-changed',
	/** The durable state can't be written; the process ends. */
	storageFailed: 'storage-failed',
	/** This instance became the steward of its zone, which distributes the zone's leases. */
	stewardStarted: 'steward-started',
	/** This instance is no longer the steward of its zone. */
	stewardEnded: 'steward-ended',
	/** A routing lease was acquired again. */
	leaseGained: 'lease-gained',
	/** A routing lease expired. */
	leaseLost: 'lease-lost',
	/** A command of the replicated control state was applied. */
	commandApplied: 'command-applied',
	/** A command was refused when it was applied. */
	commandRefused: 'command-refused',
	/** The whole control state was replaced by a newer one. */
	stateRestored: 'state-restored',
	/** An upstream's announcement was refused. */
	announcementRefused: 'announcement-refused',
	/** A request ended with a failure. */
	requestFailed: 'request-failed',
	/** A message from outside was malformed or could not be accepted. */
	inputRefused: 'input-refused',
	/** The data folder of a voter is unknown to the other voters. */
	voterJoining: 'voter-joining',
	/** An announcement changed the recorded state of its upstream or of its keys. */
	upstreamAnnounced: 'upstream-announced',
	/** An upstream announced its departure. */
	upstreamLeft: 'upstream-left',
	/** An operator's change of items was accepted or refused. */
	itemsDeclared: 'items-declared',
	/** An operator's order to evacuate a zone, or to restore it, was accepted or refused. */
	zoneOrdered: 'zone-ordered',
	/** An entry instance sends no more requests to the upstreams of a zone. */
	zoneExcluded: 'zone-excluded',
	/** An entry instance sends requests to the upstreams of a restored zone again. */
	zoneIncluded: 'zone-included',
	/** The leader assigns keys or recalls them. */
	keysPlanned: 'keys-planned',
	/** The leader changes the voter set. */
	votersChanged: 'voters-changed',
	/** A control instance is followed, or no longer. */
	controlGained: 'control-gained',
	controlLost: 'control-lost',
	/** A copy of the replicated state has lacked committed entries for a while. */
	replicaBehind: 'replica-behind',
	/** The copy has received the entries that it lacked. */
	replicaCaughtUp: 'replica-caught-up',
	/** The settings were reloaded. */
	settingsReloaded: 'settings-reloaded',
	/** An attempt at an upstream ended without an answer to forward. */
	attemptFailed: 'attempt-failed',
	/** A notice in an upstream's answer changed what this instance sends to it. */
	upstreamNoticed: 'upstream-noticed',
	/** This instance alone may send requests to these cold upstreams, or no longer. */
	coldLeaseGained: 'cold-lease-gained',
	coldLeaseLost: 'cold-lease-lost',
	/** A request whose answer is late was sent to a second upstream as well. */
	secondSent: 'second-sent',
	/** A request was answered by an upstream. */
	requestAnswered: 'request-answered',
	/** A request was refused or ended without an upstream's answer. */
	requestRefused: 'request-refused',
	/** What the keeper of a service's room decided in the last second, and by what. */
	roomKept: 'room-kept',
	/** The keeper of a zone's room answers again, or no longer. */
	keeperGained: 'keeper-gained',
	keeperLost: 'keeper-lost',
	/** A timer of this process fired late: the event loop was busy, or the process did not run. */
	loopLate: 'loop-late',
	/** Resource use and activity of the process since the previous such line. */
	instanceLoad: 'instance-load',
	/** An upstream announced itself without keys that were assigned to it: its hold, the key lease at an upstream, expired. */
	holdLapsed: 'hold-lapsed',
	/** A connection of a peer that takes too much was closed. */
	peerClosed: 'peer-closed',
	/** Reading from a peer stopped for a while, as its short pieces take too much of the loop. */
	peerThrottled: 'peer-throttled',
	/** Lines were dropped to bound the volume. */
	linesDropped: 'lines-dropped',
} as const;

export type EventName = (typeof EventName)[keyof typeof EventName];
