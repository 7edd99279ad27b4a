/** Orders to evacuate and restore zones at control instances: the leader's part, and three instances over real connections. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {directoryMachine, type DirectoryState, encodeCommands} from '@dogwooddeck/directory/state';
import {type ZoneOrder} from '@dogwooddeck/directory/zone-order';
import {createMeshClients} from '@dogwooddeck/mesh/client';
import {failure, FailureKind} from '@dogwooddeck/model/failure';
import {createStateHolder} from '@dogwooddeck/replica/state-holder';
import {createMeasures, MeasureName} from '@dogwooddeck/telemetry/measure';
import {err, ok} from 'true-myth/result';
import {type Running, withNodes} from './nodes.js';
import {createZoneCoordinator} from '@dogwooddeck/control-node/zone-coordinator';

/** How the log treats a proposal or read round. */
const LogFate = {
	/** It is committed and answered. */
	committed: 'committed',
	/** It is committed, and the answer is lost. */
	answerLost: 'answer-lost',
	/** Another voter leads. */
	replaced: 'replaced',
} as const;

type LogFate = (typeof LogFate)[keyof typeof LogFate];

type Step = {
	readonly kind: ZoneOrder['kind'];
	readonly fate: LogFate;
	readonly isAcknowledged: boolean;
	/** A committed order that the leader hasn't applied when this one arrives. */
	readonly unapplied?: ZoneOrder['kind'];
};

const sequences: ReadonlyArray<{readonly name: string; readonly steps: readonly Step[]; readonly entries: number; readonly evacuated: readonly string[]}> = [
	{
		name: 'is acknowledged once it is committed', steps: [{kind: 'zoneEvacuated', fate: 'committed', isAcknowledged: true}], entries: 1, evacuated: ['z'],
	},
	{
		name: 'is sent again after a lost answer',
		steps: [{kind: 'zoneEvacuated', fate: 'answer-lost', isAcknowledged: false}, {kind: 'zoneEvacuated', fate: 'committed', isAcknowledged: true}],
		entries: 1,
		evacuated: ['z'],
	},
	{
		name: 'is sent again after its acknowledgement',
		steps: [{kind: 'zoneEvacuated', fate: 'committed', isAcknowledged: true}, {kind: 'zoneEvacuated', fate: 'committed', isAcknowledged: true}],
		entries: 1,
		evacuated: ['z'],
	},
	{
		name: 'in force is not acknowledged by a leader that has been replaced',
		steps: [{kind: 'zoneEvacuated', fate: 'committed', isAcknowledged: true}, {kind: 'zoneEvacuated', fate: 'replaced', isAcknowledged: false}],
		entries: 1,
		evacuated: ['z'],
	},
	{
		name: 'is not acknowledged without a majority', steps: [{kind: 'zoneEvacuated', fate: 'replaced', isAcknowledged: false}], entries: 0, evacuated: [],
	},
	{
		name: 'is withdrawn',
		steps: [{kind: 'zoneEvacuated', fate: 'committed', isAcknowledged: true}, {kind: 'zoneRestored', fate: 'committed', isAcknowledged: true}],
		entries: 2,
		evacuated: [],
	},
	{
		name: 'that was never given is withdrawn', steps: [{kind: 'zoneRestored', fate: 'committed', isAcknowledged: true}], entries: 0, evacuated: [],
	},
	// EVAC: a new leader acknowledged an order that its log, which it had not applied, contradicted.
	{
		name: 'that a new leader has not applied is withdrawn',
		steps: [{
			kind: 'zoneRestored', fate: 'committed', isAcknowledged: true, unapplied: 'zoneEvacuated',
		}],
		entries: 2,
		evacuated: [],
	},
	{
		name: 'is given again to a new leader that has not applied its withdrawal',
		steps: [{kind: 'zoneEvacuated', fate: 'committed', isAcknowledged: true}, {
			kind: 'zoneEvacuated', fate: 'committed', isAcknowledged: true, unapplied: 'zoneRestored',
		}],
		entries: 3,
		evacuated: ['z'],
	},
];

for (const {name, steps, entries, evacuated} of sequences) {
	test(`evacuation: an order ${name}`, async () => {
		const holder = createStateHolder(directoryMachine);
		const fate: {value: LogFate} = {value: LogFate.committed};
		const outcomes = {
			[LogFate.committed]: () => ok(holder.state().applied),
			[LogFate.answerLost]: () => err(failure(FailureKind.outcomeUnknown, 'the answer is lost')),
			[LogFate.replaced]: () => err(failure(FailureKind.notLeader, 'another voter leads')),
		};
		const unapplied: ZoneOrder[] = [];
		const apply = (commands: readonly ZoneOrder[]) => holder.apply(holder.state().applied + 1, encodeCommands(commands));
		const applyRest = () => {
			for (const earlier of unapplied.splice(0)) {
				apply([earlier]);
			}
		};

		const {order} = createZoneCoordinator({
			holder,
			async read() {
				applyRest();
				return outcomes[fate.value]();
			},
			async propose(commands) {
				applyRest();
				if (fate.value !== LogFate.replaced) {
					apply(commands as readonly ZoneOrder[]);
				}

				return outcomes[fate.value]();
			},
			schedulePlan: () => undefined,
			log: {event: () => undefined, warning: () => undefined, error: () => undefined},
			measures: createMeasures(),
		});
		for (const step of steps) {
			fate.value = step.fate;
			const seen = holder.state().applied + (step.unapplied === undefined ? 0 : 1);
			unapplied.push(...(step.unapplied === undefined ? [] : [{kind: step.unapplied, zone: 'z', seen}]));
			const answer = await order({order: {kind: step.kind, zone: 'z', seen}});
			assert.equal(answer.isOk, step.isAcknowledged);
		}

		assert.equal(holder.state().applied, entries);
		assert.deepEqual(Object.keys(holder.state().evacuatedZones), evacuated);
	});
}

const longestWaitMilliseconds = 10_000;
const retryMilliseconds = 50;

/** Sends an order again until an instance acknowledges it, as an operator does. */
async function orderUntilAcknowledged(running: readonly Running[], kind: ZoneOrder['kind'], zone: string): Promise<void> {
	const until = performance.now() + longestWaitMilliseconds;
	for (let tried = 0; performance.now() < until; tried += 1) {
		const answer = await running[tried % running.length]!.node.orderZone(kind, zone);
		if (answer.isOk) {
			return;
		}

		await pause(retryMilliseconds);
	}

	assert.fail(`not acknowledged within ${longestWaitMilliseconds} ms`);
}

/** The directory of a control instance, once it has applied what its leader has committed. */
async function directoryOf({address}: Running): Promise<DirectoryState> {
	const clients = createMeshClients();
	const holder = createStateHolder(directoryMachine);
	const state = await new Promise<DirectoryState>(resolve => {
		clients.follow(address, {entry: 'e', applied: 0, wantsChanges: true}, {
			onPart: () => undefined,
			onMessage({catchUp, committed, fresh}) {
				if (catchUp !== undefined) {
					holder.catchUp(catchUp);
				}

				if (fresh && holder.state().applied >= committed) {
					resolve(holder.state());
				}
			},
			onEnd: () => undefined,
		});
	});
	clients.close();
	return state;
}

async function evacuationsOf(running: readonly Running[]): Promise<ReadonlyArray<DirectoryState['evacuatedZones']>> {
	const directories = await Promise.all(running.map(async one => directoryOf(one)));
	return directories.map(({evacuatedZones}) => evacuatedZones);
}

async function checkZones(running: readonly Running[], expected: readonly string[]): Promise<void> {
	for (const zones of await evacuationsOf(running)) {
		assert.deepEqual(Object.keys(zones), expected);
	}
}

function isLeader({measures}: Running): boolean {
	return measures.expose().includes(`${MeasureName.leader} 1`);
}

const runs: ReadonlyArray<{readonly name: string; readonly use: (running: Running[]) => Promise<void>}> = [
	{
		name: 'every instance takes an order and a copy of it',
		async use(running) {
			await orderUntilAcknowledged(running, 'zoneEvacuated', 'z');
			const [before] = await evacuationsOf(running);
			for (const {node} of running) {
				const {isOk} = await node.orderZone('zoneEvacuated', 'z');
				assert.ok(isOk);
			}

			assert.deepEqual(await evacuationsOf(running), [before, before, before]);
		},
	},
	{
		name: 'a zone that the settings don\'t name is not found',
		async use(running) {
			await orderUntilAcknowledged(running, 'zoneEvacuated', 'y');
			const answers = await Promise.all(running.map(async ({node}) => node.orderZone('zoneEvacuated', 'x')));
			assert.deepEqual(answers.map(answer => answer.isErr && answer.error.kind), ['not-found', 'not-found', 'not-found']);
			await checkZones(running, ['y']);
		},
	},
	{
		name: 'an acknowledged order outlives its leader',
		async use(running) {
			await orderUntilAcknowledged(running, 'zoneEvacuated', 'z');
			const position = running.findIndex(one => isLeader(one));
			const left = running.filter((_one, other) => other !== position);
			await running[position]!.node.stop();
			await orderUntilAcknowledged(left, 'zoneEvacuated', 'y');
			await checkZones(left, ['z', 'y']);
			running[position] = await running[position]!.start();
		},
	},
	{
		name: 'acknowledged orders hold after all instances have ended',
		async use(running) {
			await orderUntilAcknowledged(running, 'zoneEvacuated', 'z');
			await orderUntilAcknowledged(running, 'zoneEvacuated', 'y');
			await orderUntilAcknowledged(running, 'zoneRestored', 'z');
			await Promise.all(running.map(async ({node}) => node.stop()));
			for (const [position, one] of running.entries()) {
				running[position] = await one.start();
			}

			await orderUntilAcknowledged(running, 'zoneRestored', 'z');
			await checkZones(running, ['y']);
		},
	},
];

for (const {name, use} of runs) {
	test(`evacuation: ${name}`, async () => withNodes(use));
}
