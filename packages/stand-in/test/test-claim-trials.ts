/**
 * Bookings with an `Idempotency-Key` through real processes, while the instances
 * that hold their claims are killed together or stopped in turn.
 */
import assert from 'node:assert/strict';
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {pause} from '@dogwooddeck/clock/pause';
import {FailureKind} from '@dogwooddeck/model/failure';
import {type ClaimSeat, operationId} from '@dogwooddeck/routing/claim';
import {holdersOf} from '@dogwooddeck/routing/claim-holders';
import {loadTextHash} from '@dogwooddeck/routing/text-hash';
import {request} from 'undici';
import {nine, runTrials, type TrialCase} from './trial.js';
import {operationHeader} from '@dogwooddeck/stand-in/answers';
import {type Deployment, type TrialInstance} from '@dogwooddeck/stand-in/deployment';

const hash = await loadTextHash();

type Booking = {readonly name: string; readonly key: string};
type Told = {readonly status: number; readonly kind: string; readonly retryAfter: number};

const bookings: readonly Booking[] = Array.from({length: 60}, (_, number) => ({name: `booking-${number}`, key: `verge-${number}`}));

async function book(instance: TrialInstance, {name, key}: Booking): Promise<Told> {
	const {statusCode, headers, body} = await request(`http://${instance.addresses.callers}/schedule/${key}`, {
		method: 'POST', headers: {'idempotency-key': name, [operationHeader]: name},
	});
	const {kind = ''} = JSON.parse(await body.text()) as {readonly kind?: string};
	return {status: statusCode, kind, retryAfter: Number(headers['retry-after'] ?? 0)};
}

/** Sends a booking until it is served, or refused because of its claim alone. */
async function bookPatiently(instance: TrialInstance, booking: Booking): Promise<Told> {
	const passing: ReadonlySet<string> = new Set([FailureKind.noLease, FailureKind.noOwner, FailureKind.overloaded]);
	for (;;) {
		const told = await book(instance, booking);
		if (!passing.has(told.kind)) {
			return told;
		}

		await pause(200);
	}
}

/** How often each booking ran, over all upstreams. */
async function counted(deployment: Deployment): Promise<ReadonlyMap<string, number>> {
	const counts = new Map<string, number>();
	for (const child of deployment.upstreams.values()) {
		const address = /address=(?<address>\S+)/v.exec(child.output())?.groups?.address;
		const {body} = await request(`http://${address}/stand-in/ran`);
		for (const [name, count] of Object.entries(await body.json() as Readonly<Record<string, number>>)) {
			counts.set(name, count + (counts.get(name) ?? 0));
		}
	}

	return counts;
}

async function holderNames(deployment: Deployment, {name, key}: Booking): Promise<readonly string[]> {
	const {instances} = await deployment.read(deployment.instances[0]!, '/operator/members') as {readonly instances: readonly ClaimSeat[]};
	const operation = operationId({service: 'bermrand/schedule', key, operationKey: name});
	return holdersOf({index: 0, seats: instances}, operation, hash).map(seat => seat.name);
}

/** A pair of holders that don't vote, so that their loss leaves a quorum. */
async function losablePair(deployment: Deployment): Promise<{readonly lost: Booking; readonly holders: readonly string[]}> {
	const voters = new Set(deployment.instances.filter(({voter}) => voter).map(({name}) => name));
	const pairs = await Promise.all(bookings.map(async lost => ({lost, holders: await holderNames(deployment, lost)})));
	const pair = pairs.find(({holders}) => !holders.some(name => voters.has(name)));
	assert.ok(pair !== undefined, 'some booking has two holders that don\'t vote');
	return pair;
}

async function losesHolders(deployment: Deployment): Promise<void> {
	const entry = deployment.instances[0]!;
	const {lost, holders} = await losablePair(deployment);
	for (const booking of [...bookings.slice(0, 30), lost]) {
		await bookPatiently(entry, booking);
	}

	for (const {child} of deployment.instances.filter(({name}) => holders.includes(name))) {
		await child.kill();
	}

	await pause(30_000);
	const resent = await bookPatiently(entry, lost);
	const others = [];
	for (const booking of bookings.filter(({name}) => name !== lost.name)) {
		others.push(await bookPatiently(entry, booking));
	}

	const counts = await counted(deployment);
	const refused = others.filter(({status}) => status !== 200);
	console.log(`claims: ${holders.join(' and ')} killed; the resend was told ${resent.status} ${resent.kind}, again after ${resent.retryAfter} s`);
	console.log(`claims: ${refused.length} of ${others.length} others refused`);
	assert.equal(counts.get(lost.name), 1, 'the booking ran once');
	assert.equal(resent.kind, FailureKind.claimUnavailable);
	assert.ok(resent.retryAfter > 3000, 'the refusal tells how long it lasts');
	assert.ok(refused.length <= others.length / 4, 'other bookings go on');
	assert.deepEqual([...counts].filter(([, count]) => count > 1), []);
}

async function stopsHolders(deployment: Deployment): Promise<void> {
	const refused: string[] = [];
	const book = async (entry: TrialInstance, booking: Booking) => {
		const told = await bookPatiently(entry, booking);
		if (told.status !== 200) {
			refused.push(`${booking.name} at ${entry.name}: ${told.status} ${told.kind}`);
		}
	};

	for (const [position, instance] of deployment.instances.entries()) {
		const entry = deployment.instances[(position + 2) % deployment.instances.length]!;
		await book(entry, bookings[position]!);
		const since = monotonicNow();
		assert.equal(await instance.child.stop(), 0);
		const stopped = monotonicNow();
		deployment.restart(instance);
		await deployment.ready();
		console.log(`claims: ${instance.name} stopped in ${Math.round(stopped - since)} ms, ready after ${Math.round(monotonicNow() - stopped)} ms`);
		await book(instance, bookings[position]!);
		await pause(1000);
	}

	for (const instance of deployment.instances) {
		for (const booking of bookings.slice(0, 20)) {
			await book(instance, booking);
		}
	}

	const counts = await counted(deployment);
	console.log(`claims: ${deployment.instances.length} instances stopped in turn; ${counts.size} bookings ran, ${refused.length} requests refused ${refused.join(', ')}`);
	assert.deepEqual([...counts].filter(([, count]) => count > 1), []);
	assert.deepEqual(refused, []);
}

const cases: readonly TrialCase[] = [
	{
		name: 'both holders of a booking are killed within a second', instances: nine, rejoins: true, run: losesHolders,
	},
	{
		name: 'every one of nine instances is stopped in turn, and nothing is refused', instances: nine, rejoins: true, run: stopsHolders,
	},
	{name: 'every zone\'s only instance is stopped in turn, and nothing is refused', rejoins: true, run: stopsHolders},
];

runTrials('claims', cases);
