/**
 * A golden session of operators who lose the leader of control, race each
 * other, and ask on the side of a cut that has no majority.
 */
import {
	answerLines, commandLines, printedLines, receive, type Received, runGolden,
} from './record.js';
import {onePerZone, patience} from './trial.js';
import {eventually} from '@dogwooddeck/stand-in/child';
import {
	type CommandEnded, type Deployment, operatorToken, type TrialInstance,
} from '@dogwooddeck/stand-in/deployment';

const team = 'bermrand';
const settledCodes: ReadonlySet<number | undefined> = new Set([0, 5]);
const contenders = [{folder: 'limited', operation: 'operation-one'}, {folder: 'wide', operation: 'operation-two'}] as const;
const contenderRoles = ['WINNER', 'LOSER'] as const;
/** The first, the raced and the majority's. */
const acceptedChanges = 3;
const shorterDeadlineMilliseconds = 1400;

type Status = {readonly leader?: string; readonly revisions: ReadonlyArray<{readonly team: string; readonly revision: number}>};
type Entry = {readonly revision: number; readonly operation: string};
type Session = {
	readonly deployment: Deployment;
	readonly lines: string[];
	/** The names of revisions, by their numbers. */
	readonly labels: Map<string, string>;
	/** What stands in place of names that differ from run to run. */
	readonly roles: Map<string, string>;
};

function folderOf(name: string): string {
	return `packages/stand-in/trial/${name}`;
}

async function statusOf(deployment: Deployment, instance: TrialInstance): Promise<Status> {
	return await deployment.read(instance, '/operator/status') as Status;
}

async function newestRevision(deployment: Deployment, instance: TrialInstance): Promise<number> {
	const entries = await historyOf(deployment, instance);
	return entries.at(-1)?.revision ?? 0;
}

async function historyOf(deployment: Deployment, instance: TrialInstance): Promise<readonly Entry[]> {
	const {entries} = await deployment.read(instance, `/operator/history?team=${team}`) as {readonly entries: readonly Entry[]};
	return entries;
}

/** Names the newest revision once an instance has it, so that the record tells revisions apart whatever their numbers are. */
async function label({deployment, labels}: Session, instance: TrialInstance, name: string): Promise<number> {
	const revision = await eventually(`${instance.name} has the revision ${name}`, patience, async () => {
		const newest = await newestRevision(deployment, instance);
		return labels.has(String(newest)) ? undefined : newest;
	});
	labels.set(String(revision), name);
	return revision;
}

/** Revisions by their names: in sentences, in JSON and at the start of rows of the history. */
function named(labels: ReadonlyMap<string, string>, line: string): string {
	const nameOf = (whole: string, before: string, number: string) => labels.has(number) ? `${before}${labels.get(number)}` : whole;
	return line
		.replaceAll(/((?:\bbase|\brevision) |evision":)(\d+)/gv, nameOf)
		.replace(/^(\d+) +(?=\d{4}-)/v, (whole, number: string) => labels.has(number) ? `${labels.get(number)} ` : whole)
		.replaceAll(/^content-length: \d+$/gv, 'content-length: NUMBER');
}

function write({lines, labels, roles}: Session, title: string, some: readonly string[]): void {
	const inRoles = (line: string) => [...roles].reduce((text, [name, role]) => text.replaceAll(name, role), line);
	lines.push('', `# ${title}`, ...some.map(line => inRoles(named(labels, line))));
}

async function apply({deployment}: Session, first: TrialInstance, words: readonly string[]): Promise<CommandEnded> {
	return deployment.control('apply', ...words, '--author', 'planner', '--server', `http://${first.addresses.operators}`);
}

/** Sends one operation until its outcome is known, as its operator would. */
async function applySettled(session: Session, first: TrialInstance, words: readonly string[]): Promise<CommandEnded> {
	return eventually('the outcome is known', patience, async () => {
		const ended = await apply(session, first, words);
		return settledCodes.has(ended.code) ? ended : undefined;
	});
}

async function leaderOf(deployment: Deployment): Promise<TrialInstance> {
	return eventually('a leader is known', patience, async () => {
		const {leader} = await statusOf(deployment, deployment.instances[3]!);
		return deployment.instances.find(({name, child}) => name === leader && child.running());
	});
}

async function anotherLeader(deployment: Deployment, seenBy: readonly TrialInstance[], former: TrialInstance): Promise<void> {
	for (const instance of seenBy) {
		await eventually(`${instance.name} knows another leader`, patience, async () => {
			const {leader} = await statusOf(deployment, instance);
			return leader !== undefined && leader !== former.name;
		});
	}
}

async function losesLeader(session: Session): Promise<TrialInstance> {
	const {deployment} = session;
	const words = [folderOf('bermrand'), '--operation', 'first-change', '--base', '0'];
	const first = await apply(session, deployment.instances[3]!, words);
	await label(session, deployment.instances[3]!, 'FIRST');
	write(session, 'an operator applies', commandLines(['apply', ...words], first));
	const leader = await leaderOf(deployment);
	await leader.child.kill();
	const other = deployment.instances.find(instance => instance !== leader);
	const again = await applySettled(session, other!, words);
	write(session, 'the leader was killed, and the operator resends', commandLines(['apply', ...words], again));
	return leader;
}

/** Which of the two wins differs from run to run; what each is told does not. */
async function races(session: Session, others: readonly TrialInstance[], base: number): Promise<void> {
	const sent = contenders.map(({folder, operation}) => [folderOf(folder), '--operation', operation, '--base', String(base)]);
	const sendAll = async () => Promise.all(sent.map(async (words, position) => applySettled(session, others[position]!, words)));
	const rounds = [await sendAll(), await sendAll()];
	await label(session, others[0]!, 'RACED');
	const order = rounds[0]!.map(({code}, position) => ({code: code!, position})).sort((one, other) => one.code - other.code);
	for (const [place, {position}] of order.entries()) {
		const {folder, operation} = contenders[position]!;
		session.roles.set(folderOf(folder), `FOLDER-${contenderRoles[place]!}`).set(operation, `operation-${contenderRoles[place]!}`);
	}

	for (const [round, title] of ['two operators race on one base', 'both resend'].entries()) {
		write(session, title, order.flatMap(({position}) => commandLines(['apply', ...sent[position]!], rounds[round]![position]!)));
	}
}

async function applyAt(deployment: Deployment, instance: TrialInstance, operation: string, base: number): Promise<Received> {
	const {services} = await deployment.read(instance, `/operator/configuration?team=${team}`) as {readonly services: readonly object[]};
	const wanted = services.map(service => ({...service, longestDeadlineMilliseconds: shorterDeadlineMilliseconds}));
	return receive(instance.addresses.operators, {
		method: 'POST',
		path: '/operator/apply',
		headers: {authorization: `Bearer ${operatorToken}`, 'content-type': 'application/json', 'dogwooddeck-author': 'planner'},
		body: JSON.stringify({
			team, operation, base, services: wanted,
		}),
	});
}

async function asksInACut(session: Session, base: number): Promise<void> {
	const {deployment} = session;
	const leader = await leaderOf(deployment);
	const others = deployment.instances.filter(instance => instance !== leader);
	deployment.cut((one, other) => one === leader && other !== leader);
	await anotherLeader(deployment, others, leader);
	await eventually('the cut leader has stepped down', patience, async () => {
		const measures = await receive(leader.addresses.operators, {method: 'GET', path: '/metrics'});
		return measures?.body.includes('dogwooddeck_leader 0');
	});
	write(session, 'the leader was cut off; an operator asks it', answerLines(await applyAt(deployment, leader, 'cut-change', base)));
	const inside = await historyOf(deployment, leader);
	write(session, 'what the cut side has applied', inside.map(({revision, operation}) => `revision ${revision}: ${operation}`));
	const words = [folderOf('bermrand'), '--operation', 'change-of-the-majority', '--base', String(base)];
	const accepted = await applySettled(session, others[0]!, words);
	await label(session, others[0]!, 'MAJORITY');
	write(session, 'an operator asks the side of the majority', commandLines(['apply', ...words], accepted));
	deployment.heal();
	await eventually('the cut side has caught up', patience, async () => await newestRevision(deployment, leader) > base);
	const resent = await eventually('the outcome is known', patience, async () => {
		const answer = await applyAt(deployment, leader, 'cut-change', base);
		return answer?.body.includes('no-quorum') === true || answer?.body.includes('outcome-unknown') === true ? undefined : answer;
	});
	write(session, 'the cut was healed, and the operator resends', answerLines(resent));
}

async function showHistories(session: Session): Promise<void> {
	for (const instance of session.deployment.instances) {
		const entries = await eventually(`${instance.name} has the whole history`, patience, async () => {
			const known = await historyOf(session.deployment, instance);
			return known.length === acceptedChanges ? known : undefined;
		});
		write(session, `history at ${instance.name}`, entries.map(({revision, operation}) => `revision ${revision}: ${operation}`));
	}
}

runGolden({
	name: 'operators lose the leader, race, and ask without a majority',
	file: 'session-leader',
	instances: onePerZone([0, 1, 2]),
	async run(deployment) {
		const session: Session = {
			deployment, lines: [], labels: new Map([['0', 'NONE']]), roles: new Map(),
		};
		const lost = await losesLeader(session);
		const others = deployment.instances.filter(instance => instance !== lost);
		await races(session, others, await newestRevision(deployment, others[0]!));
		deployment.restart(lost);
		await deployment.ready();
		await asksInACut(session, await newestRevision(deployment, others[0]!));
		await showHistories(session);
		write(session, 'an operator reads the history', printedLines(['history'], await deployment.control('history', '--team', team)));
		return session.lines;
	},
});
