/**
 * Replays the load patterns that the keeper of a zone's room answers, against what
 * each entry decides by itself.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	replayRoom, rules, scenarios, services,
} from '@dogwooddeck/bench/room-scenarios';

const seed = 7;
const seconds = 14;

type Case = {
	readonly service: string;
	readonly load: string;
	/** The kinds of which the keeper has at least this much more served in time. */
	readonly gains: Readonly<Record<string, number>>;
};

const cases: readonly Case[] = [
	{service: 'shedding payments', load: 'heavy', gains: {pay: 0.1}},
	{service: 'shedding payments', load: 'slow upstreams', gains: {pay: 0.02}},
	{service: 'shedding files', load: 'burst of the least urgent', gains: {claim: 0.1}},
	{service: 'shedding files', load: 'opposed waves', gains: {claim: 0.1}},
	{service: 'shedding files', load: 'lost keeper', gains: {claim: 0}},
	{service: 'silent reserve', load: 'burst of the least urgent', gains: {reserve: 0.02}},
	{service: 'silent rates', load: 'calm', gains: {rates: -0.01}},
	{service: 'silent rates', load: 'cut zone', gains: {rates: -0.01}},
];

for (const {service: name, load, gains} of cases) {
	test(`shared room, replayed: ${name}, ${load} (seed ${seed})`, () => {
		const service = services.find(one => one.name === name)!;
		const scenario = scenarios.find(one => one.name === load)!;
		const [kept, guessed] = [rules['keeper in the zone']!, rules['own guess']!].map(maker => replayRoom(service, scenario, maker, seed, seconds));
		assert.equal(kept!.counts.overRoom, 0);
		for (const [kind, gain] of Object.entries(gains)) {
			const [one, other] = [kept!, guessed!].map(({countsOf}) => countsOf.get(kind)!.inTime / countsOf.get(kind)!.asked);
			assert.ok(one! >= other! + gain, `${kind}: ${one!.toFixed(3)} of the keeper, ${other!.toFixed(3)} by own guess`);
		}
	});
}
