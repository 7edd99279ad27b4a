/**
 * Graceful shutdown of an instance: hands leadership, seat, claims and callers
 * over to other instances before its components stop, so that no request in
 * flight is closed early.
 */
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {pause} from '@dogwooddeck/clock/pause';
import {type FrontServer} from '@dogwooddeck/front/api';
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {EventName} from '@dogwooddeck/telemetry/event';
import {type Log} from '@dogwooddeck/telemetry/log';
import {type UpstreamClient} from '@dogwooddeck/upstream-client/client';
import {type PeerClients} from '@dogwooddeck/wire/client';
import {type PeerServer} from '@dogwooddeck/wire/server';
import {type ControlVoter} from './control-voter.js';
import {type BurnRunner} from './burn-runner.js';
import {type ClaimRunner} from './claim-runner.js';
import {type ControlRunner} from './control-runner.js';
import {type InstanceSettings} from './settings.js';
import {type ZoneRunner} from './zone-runner.js';

/** The components of a stopping instance. */
export type ShutdownDependencies = {
	readonly durations: InstanceSettings['stop'];
	readonly log: Log;
	/** Undefined on an instance that doesn't vote. */
	readonly voter: Pick<ControlVoter, 'handOver' | 'stop'> | undefined;
	readonly zone: Pick<ZoneRunner, 'leave' | 'isSeated' | 'stop'>;
	/** The number of seats in the instance's zone. */
	readonly seatCount: () => number;
	readonly callers: FrontServer;
	/** From now on, requests that may run past this time are refused. */
	readonly limitRequestsTo: (end: MonotonicTime) => void;
	readonly claims: Pick<ClaimRunner, 'handOver' | 'stop'>;
	readonly operators: FrontServer;
	readonly control: Pick<ControlRunner, 'stop'>;
	readonly burn: Pick<BurnRunner, 'stop'>;
	/** Releases the lock on the data folder of an instance that doesn't vote. */
	readonly releaseFolder: () => Promise<void>;
	readonly client: UpstreamClient;
	readonly peers: PeerServer;
	readonly clients: PeerClients;
};

const leaveTimeoutMilliseconds: Milliseconds = 4000;
const pollMilliseconds: Milliseconds = 20;

async function waitUntil(condition: () => boolean, timeout: Milliseconds): Promise<void> {
	const end = monotonicNow() + timeout;
	while (!condition() && monotonicNow() < end) {
		await pause(pollMilliseconds);
	}
}

/** Waits for the balancer, hands over leadership and the seat, then waits for requests in flight and copies of claims to finish. */
async function handOver({
	durations, voter, zone, seatCount, callers, limitRequestsTo, claims,
}: ShutdownDependencies): Promise<void> {
	// Releasing the seat may extend the end; requests that arrive now are admitted against the earliest one.
	limitRequestsTo(monotonicNow() + durations.balancerDelayMilliseconds + durations.longestMilliseconds);
	await pause(durations.balancerDelayMilliseconds);
	voter?.handOver();
	zone.leave();
	const closing = callers.close();
	await waitUntil(() => !zone.isSeated() || seatCount() < 2, leaveTimeoutMilliseconds);
	const end = monotonicNow() + durations.longestMilliseconds;
	limitRequestsTo(end);
	await Promise.race([closing, pause(durations.longestMilliseconds)]);
	limitRequestsTo(-Infinity);
	await claims.handOver(Math.max(0, end - monotonicNow()));
}

async function stopComponents(dependencies: ShutdownDependencies): Promise<void> {
	await dependencies.operators.close();
	dependencies.zone.stop();
	dependencies.control.stop();
	dependencies.claims.stop();
	await dependencies.burn.stop();
	await dependencies.releaseFolder();
	await dependencies.client.close();
	await dependencies.peers.close();
	await dependencies.voter?.stop();
	dependencies.clients.close();
}

/** Shuts down an instance that is no longer ready. Resolves when all its components have stopped. */
export async function shutDownGracefully(instance: ShutdownDependencies): Promise<void> {
	const {log} = instance;
	log.event(EventName.stopRequested);
	log.event(EventName.instanceNotReady, {reason: 'the instance stops'});
	await handOver(instance);
	await stopComponents(instance);
	log.event(EventName.instanceStopped);
}
