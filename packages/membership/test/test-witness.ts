import assert from 'node:assert/strict';
import process from 'node:process';
import {test} from 'node:test';
import {emptyReport, type Report} from '@dogwooddeck/model/lease';
import {advanceWatch, createWatch, type WatchState} from '@dogwooddeck/membership/watch';

const service = 'bermrand/schedule';
const zone = 'n-1';

/** The attempts of one instance at an incarnation of the upstream. */
type Observation = {readonly instance: string; readonly incarnation?: number; readonly answered?: number; readonly failed?: number};

function evidenceOf(name: string, {instance, incarnation = 1, answered = 0, failed = 0}: Observation): Report['evidence'][number] {
	return {
		upstream: {service, name, incarnation},
		answered,
		failed,
		timedOut: 0,
		shed: 0,
		inFlight: 1,
		meanLatencyMilliseconds: 5,
		seenBy: {name: instance, incarnation: 1},
	};
}

function receive(state: WatchState, evidence: Report['evidence']): WatchState {
	return advanceWatch(state, {
		kind: 'reportReceived', now: 100, report: {...emptyReport, evidence}, reporter: {zone, instance: 'i1'},
	}).state;
}

const witnessCases: ReadonlyArray<{readonly name: string; readonly observations: readonly Observation[]; readonly failures: Readonly<Record<string, number>>}> = [
	{name: 'failures add up', observations: [{instance: 'i1', failed: 2}, {instance: 'i1', failed: 3}], failures: {i1: 5}},
	{name: 'a response resets the count', observations: [{instance: 'i1', failed: 2}, {instance: 'i1', answered: 1}], failures: {i1: 0}},
	{name: 'the count starts after a response', observations: [{instance: 'i1', answered: 1}, {instance: 'i1', failed: 2}], failures: {i1: 2}},
	{name: 'each instance has its own count', observations: [{instance: 'i1', failed: 2}, {instance: 'i2', failed: 1}], failures: {i1: 2, i2: 1}},
	{name: 'evidence without an ended attempt is ignored', observations: [{instance: 'i1', failed: 2}, {instance: 'i1'}, {instance: 'i2'}], failures: {i1: 2}},
	{name: 'evidence about an earlier incarnation is ignored', observations: [{instance: 'i1', incarnation: 2, failed: 1}, {instance: 'i1', failed: 5}], failures: {i1: 1}},
	{name: 'a later incarnation starts at zero', observations: [{instance: 'i1', failed: 5}, {instance: 'i1', incarnation: 2, failed: 1}], failures: {i1: 1}},
];

for (const {name, observations, failures} of witnessCases) {
	test(`witnesses: ${name}, in one report and in several`, () => {
		const evidence = observations.map(observation => evidenceOf('u1', observation));
		const separate = evidence.reduce((state, one) => receive(state, [one]), createWatch(0));
		for (const state of [receive(createWatch(0), evidence), separate]) {
			const {witnesses} = state.upstreams.get(`${service}\nu1`)!;
			assert.deepEqual(Object.fromEntries(Object.entries(witnesses).map(([instance, {consecutiveFailures}]) => [instance, consecutiveFailures])), failures);
		}
	});
}

const costCases = [
	{instances: 9, upstreams: 48, processorMilliseconds: 500},
	{instances: 890, upstreams: 48, processorMilliseconds: 1000},
];

for (const {instances, upstreams, processorMilliseconds} of costCases) {
	test(`a report of ${instances} witnesses of ${upstreams} upstreams takes less than ${processorMilliseconds} ms of CPU time`, () => {
		const evidence = Array.from({length: instances}, (_, instance) =>
			Array.from({length: upstreams}, (_, upstream) => evidenceOf(`u${upstream}`, {instance: `i${instance}`, answered: 5}))).flat();
		const before = process.cpuUsage();
		const state = receive(createWatch(0), evidence);
		const {user, system} = process.cpuUsage(before);
		assert.equal(Object.keys(state.upstreams.get(`${service}\nu0`)!.witnesses).length, instances);
		assert.ok((user + system) / 1000 < processorMilliseconds, `${(user + system) / 1000} ms`);
	});
}
