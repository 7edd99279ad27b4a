/**
 * A golden session of upstreams: announced, granted, drained, silent and judged
 * lost, back as if nothing had happened, and back with a later incarnation. The
 * test announces in their place, so that it has each answer as it comes.
 */
import assert from 'node:assert/strict';
import {
	answerLines, applyTrial, receive, type Received, runGolden,
} from './record.js';
import {onePerZone, patience, zones} from './trial.js';
import {type Grant} from '@dogwooddeck/stand-in/announcer';
import {eventually} from '@dogwooddeck/stand-in/child';
import {
	announceKey, type Deployment, type TrialInstance,
} from '@dogwooddeck/stand-in/deployment';

const service = 'bermrand/booking';
const slots = 16;

/** One life of an upstream. */
type Life = {readonly name: string; readonly incarnation: number; readonly leaving?: boolean};
type Session = {
	readonly entry: TrialInstance;
	readonly lines: string[];
	/** Those that go on announcing while the session waits, by name. */
	readonly living: Map<string, Life>;
	/** The newest fence of each slot. */
	readonly fences: Map<number, number>;
};

async function announce(entry: TrialInstance, {name, incarnation, leaving = false}: Life, more: {readonly token?: string; readonly service?: string} = {}): Promise<Received> {
	return receive(entry.addresses.operators, {
		method: 'POST',
		path: '/announce',
		headers: {authorization: `Bearer ${more.token ?? announceKey}`, 'content-type': 'application/json'},
		body: JSON.stringify({
			service: more.service ?? service, name, incarnation, ...zones[0], address: '127.0.0.1:9', leaving, load: 0,
		}),
	});
}

function write(session: Session, title: string, answer: Received): void {
	const told = answerLines(answer).map(line => line.replace(/^content-length: \d+$/v, 'content-length: NUMBER'));
	session.lines.push('', `# ${title}`, ...told);
	checkFences(session, answer);
}

function grantsIn(answer: Received): readonly Grant[] {
	const {grants = []} = JSON.parse(answer?.body ?? '{}') as {readonly grants?: readonly Grant[]};
	return grants;
}

/** Fences are masked in the record, so that each is greater than the last of its slot is checked here. */
function checkFences({fences}: Session, answer: Received): void {
	for (const {slot, fence} of grantsIn(answer)) {
		assert.ok(fence > (fences.get(slot) ?? 0), `slot ${slot} went from fence ${fences.get(slot)} to ${fence}`);
		fences.set(slot, fence);
	}
}

/** Announces all that live, again and again, until a condition holds for the answer to one of them. */
async function until(session: Session, description: string, life: Life, holds: (answer: Received) => boolean): Promise<Received> {
	session.living.set(life.name, life);
	const {answer} = await eventually(description, patience, async () => {
		const answers = new Map<string, Received>();
		for (const [name, living] of session.living) {
			answers.set(name, await announce(session.entry, living));
		}

		const own = answers.get(life.name);
		return holds(own) ? {answer: own} : undefined;
	});
	return answer;
}

async function isLost(deployment: Deployment, entry: TrialInstance, {name, incarnation}: Life): Promise<boolean> {
	const {upstreams} = await deployment.read(entry, '/operator/members') as {
		readonly upstreams: ReadonlyArray<{readonly name: string; readonly incarnation: number; readonly phase: string}>;
	};
	return upstreams.some(upstream => upstream.name === name && upstream.incarnation === incarnation && upstream.phase === 'lost');
}

const hasAll = (answer: Received): boolean => grantsIn(answer).length === slots;
const hasNone = (answer: Received): boolean => answer?.status === 200 && grantsIn(answer).length === 0;

async function arrives(session: Session): Promise<void> {
	const first: Life = {name: 'server-a', incarnation: 1};
	write(session, 'server-a announces itself with a wrong key', await announce(session.entry, first, {token: 'wrong'}));
	write(session, 'server-a announces itself for a service that does not exist', await announce(session.entry, first, {service: 'bermrand/elsewhere'}));
	write(session, 'server-a announces itself', await announce(session.entry, first));
	write(session, 'server-a is granted the keys', await until(session, 'server-a has all keys', first, hasAll));
}

/** An upstream announces itself; another one leaves, so that it is granted all keys. */
async function takesOver(session: Session, next: Life, title: string, former: string): Promise<void> {
	write(session, title, await announce(session.entry, next));
	session.living.set(next.name, next);
	const leaving: Life = {name: former, incarnation: 1, leaving: true};
	write(session, `${former} leaves, and has no keys any more`, await until(session, `${former} has no keys`, leaving, hasNone));
	write(session, `${next.name} is granted them`, await until(session, `${next.name} has all keys`, next, hasAll));
	session.living.delete(former);
}

async function isJudgedLost(session: Session, deployment: Deployment): Promise<void> {
	const other: Life = {name: 'server-c', incarnation: 1};
	const silent: Life = {name: 'server-b', incarnation: 1};
	await until(session, 'server-c has keys', other, answer => grantsIn(answer).length > 0);
	session.living.delete(silent.name);
	write(session, 'server-b falls silent, and server-c is granted its keys', await until(session, 'server-c has all keys', other, hasAll));
	await eventually('server-b is lost', patience, async () => {
		await announce(session.entry, other);
		return isLost(deployment, session.entry, silent);
	});
	write(session, 'server-b returns as if nothing had happened', await announce(session.entry, silent));
}

runGolden({
	name: 'upstreams come, leave, fall silent and return',
	file: 'session-upstream',
	instances: onePerZone([0, 1, 2]),
	async run(deployment) {
		await applyTrial(deployment, 'faulty');
		const session: Session = {
			entry: deployment.instances[0]!, lines: [], living: new Map(), fences: new Map(),
		};
		await arrives(session);
		await takesOver(session, {name: 'server-b', incarnation: 1}, 'server-b announces itself', 'server-a');
		await isJudgedLost(session, deployment);
		await takesOver(session, {name: 'server-b', incarnation: 2}, 'server-b announces a later incarnation', 'server-c');
		write(session, 'the former life of server-b announces itself', await announce(session.entry, {name: 'server-b', incarnation: 1}));
		return session.lines;
	},
});
