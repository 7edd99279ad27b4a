/**
 * A golden session of callers whose upstreams refuse, shed, reset, stall and
 * cut. Callers use entry instances of two zones, neither of them that of the
 * upstreams, so that no verdict about an upstream comes from what they see.
 */
import assert from 'node:assert/strict';
import {request} from 'undici';
import {
	answerLines, applyTrial, type CallerRequest, receive, type Received, runGolden,
} from './record.js';
import {patience} from './trial.js';
import {eventually} from '@dogwooddeck/stand-in/child';
import {
	type Deployment, type InstancePlan, type TrialInstance,
} from '@dogwooddeck/stand-in/deployment';
import {Fault, type FaultOrder, noFault} from '@dogwooddeck/stand-in/fault';

const places = [
	{region: 'noord', zone: 'noord-a'},
	{region: 'noord', zone: 'noord-b'},
	{region: 'zuid', zone: 'zuid-a'},
] as const;
const plans: readonly InstancePlan[] = places.map((place, position) => ({...place, name: `entry-${position}`, voter: true}));
const slots = 16;
const refusedMilliseconds = 2000;
const deadline = {'dogwooddeck-deadline': '800'};
const lateMilliseconds = 1000;
const underWay = 'the same operation is under way';

/** What a caller does under a fault. */
const Call = {
	/** Idempotent; the fault befalls the first attempt. */
	read: 'read',
	/** Idempotent; the fault befalls every attempt. */
	readAlways: 'read-always',
	/** Non-idempotent, without an operation key. */
	change: 'change',
	/** Non-idempotent with an operation key, then resent through another entry instance when the fault is over. */
	changeOnce: 'change-once',
} as const;

type Call = (typeof Call)[keyof typeof Call];

type Service = {readonly name: 'booking' | 'completion'; readonly address: string};

/** The fault, for one request or for all. */
const orderOf: Readonly<Record<Call, (order: FaultOrder) => FaultOrder>> = {
	[Call.read]: order => ({requests: 1, ...order}),
	[Call.readAlways]: order => order,
	[Call.change]: order => ({requests: 1, ...order}),
	[Call.changeOnce]: order => ({requests: 1, ...order}),
};

const resends: Readonly<Record<Call, boolean>> = {
	[Call.read]: false, [Call.readAlways]: false, [Call.change]: false, [Call.changeOnce]: true,
};

function requestOf({name}: Service, call: Call, operation: string): CallerRequest {
	const headers = {...deadline, 'stand-in-operation': operation};
	const change = {method: 'POST', path: `/${name}/verge-1/${name}s`, body: 'stretch'} as const;
	const requests: Readonly<Record<Call, CallerRequest>> = {
		[Call.read]: {method: 'GET', path: `/${name}/verge-1`, headers},
		[Call.readAlways]: {method: 'GET', path: `/${name}/verge-1`, headers},
		[Call.change]: {...change, headers},
		[Call.changeOnce]: {...change, headers: {...headers, 'idempotency-key': operation}},
	};
	return requests[call];
}

async function order({address}: Service, fault: FaultOrder): Promise<void> {
	const {statusCode, body} = await request(`http://${address}/stand-in/fault`, {method: 'POST', body: JSON.stringify(fault)});
	await body.dump();
	assert.equal(statusCode, 200);
}

async function ranOf({address}: Service): Promise<Readonly<Record<string, number>> | undefined> {
	const answer = await receive(address, {method: 'GET', path: '/stand-in/ran', headers: {connection: 'close'}});
	return answer === undefined ? undefined : JSON.parse(answer.body) as Readonly<Record<string, number>>;
}

/** Has the upstream show a fault, and waits until it does. */
async function begin(service: Service, fault: FaultOrder): Promise<void> {
	await order(service, fault);
	if (fault.fault === Fault.refuse) {
		await eventually('the upstream takes no connection', patience, async () => await ranOf(service) === undefined);
	}
}

/** Waits until the upstream takes connections again, and ends the fault. */
async function end(service: Service): Promise<Readonly<Record<string, number>>> {
	const ran = await eventually('the upstream takes connections', patience, async () => ranOf(service));
	await order(service, noFault);
	return ran;
}

/** Sends again, as callers do, while an earlier send is not known to be over: whether one is told so depends on the moment. */
async function settledAnswer(entry: TrialInstance, sent: CallerRequest): Promise<Received> {
	const {answer} = await eventually('no earlier send is under way', patience, async () => {
		const received = await receive(entry.addresses.callers, sent);
		return received?.body.includes(underWay) === true ? undefined : {answer: received};
	});
	return answer;
}

async function exchange(lines: string[], entry: TrialInstance, sent: CallerRequest): Promise<void> {
	const key = sent.headers?.['idempotency-key'] === undefined ? '' : ' with Idempotency-Key';
	const answer = await settledAnswer(entry, sent);
	lines.push(`${sent.method} ${sent.path}${key} through ${entry.name}`, ...answerLines(answer));
}

async function meet(lines: string[], [first, second]: readonly TrialInstance[], service: Service, [fault, call]: readonly [FaultOrder, Call]): Promise<void> {
	const operation = `${service.name}-${fault.fault}-${call}`;
	const sent = requestOf(service, call, operation);
	lines.push('', `# ${fault.fault}: ${call}`);
	await begin(service, orderOf[call](fault));
	await exchange(lines, first!, sent);
	const ran = await end(service);
	lines.push(`the upstream ran it: ${ran[operation] ?? 0}`);
	if (resends[call]) {
		await exchange(lines, second!, sent);
		await exchange(lines, first!, sent);
		const after = await end(service);
		lines.push(`the upstream ran it: ${after[operation] ?? 0}`);
	}
}

const faults: readonly FaultOrder[] = [
	{fault: Fault.none},
	{fault: Fault.refuse, forMilliseconds: refusedMilliseconds},
	{fault: Fault.shed},
	{fault: Fault.resetBeforeRun},
	{fault: Fault.resetAfterRun},
	{fault: Fault.closeAfterRun},
	{fault: Fault.stall},
	{fault: Fault.runAndStall},
	{fault: Fault.late, delayMilliseconds: lateMilliseconds},
	{fault: Fault.cutLength},
	{fault: Fault.cutChunks},
	{fault: Fault.unbounded},
	{fault: Fault.unboundedCut},
];

/** Which faults each service's upstream shows. */
const met: Readonly<Record<Service['name'], readonly FaultOrder[]>> = {
	booking: faults,
	completion: [{fault: Fault.shed}],
};

async function startService(deployment: Deployment, name: Service['name']): Promise<Service> {
	const child = deployment.startUpstream({
		...places[0], service: `bermrand/${name}`, name: `${name}-server`, checksFence: name === 'booking',
	});
	const address = await eventually('the upstream listens', patience, () => /address=(\S+)/v.exec(child.output())?.[1]);
	for (const instance of deployment.instances) {
		await eventually(`${instance.name} knows all owners`, patience, async () => {
			const {owners = []} = await deployment.read(instance, `/operator/owners?service=bermrand/${name}`) as {readonly owners?: ReadonlyArray<{readonly phase: string}>};
			return owners.length >= slots && owners.every(({phase}) => phase === 'granted');
		});
	}

	return {name, address};
}

async function warm(entries: readonly TrialInstance[], {name}: Service): Promise<void> {
	for (const entry of entries) {
		await eventually(`${entry.name} serves ${name}`, patience, async () => {
			const answer = await receive(entry.addresses.callers, {method: 'GET', path: `/${name}/verge-0`});
			return answer?.status === 200;
		});
	}
}

runGolden({
	name: 'callers whose upstreams fail',
	file: 'session-faults',
	instances: plans,
	async run(deployment) {
		await applyTrial(deployment, 'faulty');
		const entries = deployment.instances.slice(1);
		const lines: string[] = [];
		for (const name of Object.keys(met) as ReadonlyArray<Service['name']>) {
			const service = await startService(deployment, name);
			await warm(entries, service);
			lines.push('', `## ${name}`);
			for (const step of met[name].flatMap(fault => Object.values(Call).map(call => [fault, call] as const))) {
				await meet(lines, entries, service, step);
			}
		}

		return lines;
	},
});
