/**
 * Starts a whole deployment on this machine for trials and tests: instances,
 * stand-in upstreams and the operators' command line, each a process.
 */
import {
	mkdir, mkdtemp, rm, writeFile,
} from 'node:fs/promises';
import {createServer, type Server} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {failure, FailureError, FailureKind} from '@dogwooddeck/model/failure';
import {type RegionName, type ZoneName} from '@dogwooddeck/model/identifiers';
import {request} from 'undici';
import {type Child, eventually, startChild} from './child.js';
import {type ConnectProxy, startConnectProxy} from './connect-proxy.js';

/** An instance that is to run. */
export type InstancePlan = {
	readonly name: string;
	readonly region: RegionName;
	readonly zone: ZoneName;
	readonly voter: boolean;
};

/** An upstream that is to run. */
export type UpstreamPlan = {
	readonly service: string;
	readonly name: string;
	readonly region: RegionName;
	readonly zone: ZoneName;
	readonly checksFence: boolean;
	/** Whether it takes a later incarnation when it was judged to be gone. */
	readonly rejoins?: boolean;
	/** Whether it announces itself only from SIGUSR2 on. Default: no. */
	readonly announcesLater?: boolean;
	readonly workMilliseconds?: number;
	/** Requests that it runs at one time. */
	readonly slots?: number;
};

/** The addresses of an instance, each as `IP:port`. */
export type InstanceAddresses = {readonly callers: string; readonly operators: string; readonly peers: string};

/** An instance of a trial. */
export type TrialInstance = InstancePlan & {
	readonly addresses: InstanceAddresses;
	readonly settingsFile: string;
	readonly dataFolder: string;
	/** The way of this instance to the others. */
	readonly proxy: ConnectProxy;
	child: Child;
};

/** What a command printed, and its exit code. */
export type CommandEnded = {readonly output: string; readonly code: number | undefined};

/** A deployment that runs. */
export type Deployment = {
	readonly folder: string;
	readonly instances: readonly TrialInstance[];
	readonly upstreams: ReadonlyMap<string, Child>;
	/** Starts an instance again after its process ended. */
	readonly restart: (instance: TrialInstance) => void;
	readonly startUpstream: (plan: UpstreamPlan) => Child;
	/**
	 * Starts upstreams that announce themselves at the same time, once all of them listen: keys are divided over the upstreams
	 * that join soon after the first one, and processes may start further apart than that. Throws `deadlineExceeded`.
	 */
	readonly startUpstreams: (plans: readonly UpstreamPlan[]) => Promise<void>;
	/** Runs `dogwooddeckctl` with the operators' token. */
	readonly control: (...parameters: string[]) => Promise<CommandEnded>;
	/** Runs `dogwooddeckctl` with the token of a file. */
	readonly controlAs: (tokenFile: string, ...parameters: string[]) => Promise<CommandEnded>;
	/** The JSON of an operators' read at one instance. */
	readonly read: (instance: TrialInstance, path: string) => Promise<unknown>;
	/** Waits until all instances that run are ready. */
	readonly ready: () => Promise<void>;
	/** Cuts every way between the instances for which `apart` holds. */
	readonly cut: (apart: (one: TrialInstance, other: TrialInstance) => boolean) => void;
	readonly heal: () => void;
	/** Ends every process and removes the folder. */
	readonly close: () => Promise<void>;
};

/** The operators' token of every trial. */
export const operatorToken = 'trial-operator-token-0123456789';
/** The key by which upstreams of every trial announce themselves. */
export const announceKey = 'trial-announce-key-0123456789';
const peerKey = 'trial-peer-key-0123456789';

/** The folder of the repository. */
export const repository = fileURLToPath(new URL('../../../..', import.meta.url));
const daemonScript = path.join(repository, 'packages/daemon/bin/dogwooddeck.js');
const controlScript = path.join(repository, 'packages/control-tool/bin/dogwooddeckctl.js');
const upstreamScript = path.join(repository, 'packages/stand-in/bin/upstream.js');

const readyMilliseconds = 30_000;
const reasonableMilliseconds = 30_000;

/** Below the range that outgoing connections take their ports from, so that a port stays free while an instance is down. */
const firstPort = 10_000;
const portsPerProcess = 100;
const processesApart = 200;

/** The first port of this process's block; 0 until it has one. */
let block = 0;
/** The next port to try; undefined: the block's second. */
let nextPort: number | undefined;

/** Listens on a port; undefined if it is taken. */
async function listenOn(port: number): Promise<Server | undefined> {
	const server = createServer();
	return new Promise(resolve => {
		server.once('error', () => {
			resolve(undefined);
		});
		server.listen(port, '127.0.0.1', () => {
			resolve(server);
		});
	});
}

/** Takes a block of ports for this process, which listens on the first of them until it ends, so that no other process takes the block. */
async function takeBlock(): Promise<number> {
	for (let turn = 0; turn < processesApart; turn++) {
		const first = firstPort + (((process.pid + turn) % processesApart) * portsPerProcess);
		const guard = await listenOn(first);
		if (guard !== undefined) {
			guard.unref();
			return first;
		}
	}

	throw new FailureError(failure(FailureKind.internal, 'every block of ports is taken'));
}

async function isFree(port: number): Promise<boolean> {
	const server = await listenOn(port);
	return server !== undefined && new Promise(resolve => {
		server.close(() => {
			resolve(true);
		});
	});
}

async function freeAddress(): Promise<string> {
	block ||= await takeBlock();
	for (;;) {
		const port = nextPort ?? block + 1;
		nextPort = port + 1 < block + portsPerProcess ? port + 1 : undefined;
		if (await isFree(port)) {
			return `127.0.0.1:${port}`;
		}
	}
}

function settingsText(plan: InstancePlan, addresses: InstanceAddresses, voters: readonly TrialInstance[], dataFolder: string): string {
	const listed = voters.map(({name, addresses: {peers}}) => `{ name = "${name}", peers = "${peers}" }`);
	return [
		`name = "${plan.name}"`,
		`region = "${plan.region}"`,
		`zone = "${plan.zone}"`,
		'[addresses]',
		`callers = "${addresses.callers}"`,
		`operators = "${addresses.operators}"`,
		`peers = "${addresses.peers}"`,
		'[control]',
		`voters = [${listed.join(', ')}]`,
		...(plan.voter ? [`data_folder = "${dataFolder}"`] : []),
		'[keys]',
		'peer_file = "peer-key"',
		'announce_file = "announce-key"',
		'[stop]',
		'balancer_delay = "200 ms"',
		'longest = "10 s"',
		'',
	].join('\n');
}

async function planInstance(plan: InstancePlan, folder: string): Promise<TrialInstance> {
	const addresses = {callers: await freeAddress(), operators: await freeAddress(), peers: await freeAddress()};
	return {
		...plan,
		addresses,
		settingsFile: path.join(folder, `${plan.name}.toml`),
		dataFolder: path.join(folder, `data-${plan.name}`),
		proxy: await startConnectProxy(),
		child: undefined as unknown as Child,
	};
}

function nearestFirst(instances: readonly TrialInstance[], zone: ZoneName): readonly string[] {
	const near = instances.filter(instance => instance.zone === zone);
	const far = instances.filter(instance => instance.zone !== zone);
	return [...near, ...far].map(({addresses}) => addresses.operators);
}

async function isReady(instance: TrialInstance): Promise<boolean> {
	try {
		const {statusCode, body} = await request(`http://${instance.addresses.operators}/ready`);
		await body.dump();
		return statusCode === 200;
	} catch {
		return false;
	}
}

/** Starts a deployment; the first voter founds it. Throws a `FailureError` where that fails. */
export async function startDeployment(plans: readonly InstancePlan[]): Promise<Deployment> {
	const folder = await mkdtemp(path.join(tmpdir(), 'dogwooddeck-'));
	const tokenFile = path.join(folder, 'operator-token');
	await Promise.all([
		writeFile(tokenFile, operatorToken),
		writeFile(path.join(folder, 'announce-key'), announceKey),
		writeFile(path.join(folder, 'peer-key'), peerKey),
	]);
	const instances: TrialInstance[] = [];
	for (const plan of plans) {
		instances.push(await planInstance(plan, folder));
	}

	const voters = instances.filter(({voter}) => voter);
	for (const instance of instances) {
		await mkdir(instance.dataFolder, {recursive: true});
		await writeFile(instance.settingsFile, settingsText(instance, instance.addresses, voters, instance.dataFolder));
	}

	const upstreams = new Map<string, Child>();
	const commands: Child[] = [];

	function start(instance: TrialInstance): void {
		instance.child = startChild(instance.name, daemonScript, ['run', '--settings', instance.settingsFile], {
			grpc_proxy: `http://${instance.proxy.address}`,
		});
	}

	async function command(name: string, script: string, parameters: readonly string[]): Promise<CommandEnded> {
		const child = startChild(name, script, parameters);
		commands.push(child);
		await eventually(`${name} ended`, reasonableMilliseconds, () => !child.running());
		return {output: child.output(), code: await child.stop()};
	}

	function startUpstream(plan: UpstreamPlan): Child {
		const child = startChild(plan.name, upstreamScript, [
			'--service',
			plan.service,
			'--name',
			plan.name,
			'--region',
			plan.region,
			'--zone',
			plan.zone,
			'--announce-to',
			nearestFirst(instances, plan.zone).join(','),
			'--token',
			announceKey,
			'--slots',
			String(plan.slots ?? 3),
			'--work-milliseconds',
			String(plan.workMilliseconds ?? 1),
			...(plan.checksFence ? ['--checks-fence'] : []),
			...(plan.rejoins === true ? ['--rejoins'] : []),
			...(plan.announcesLater === true ? ['--announces-later'] : []),
		]);
		upstreams.set(plan.name, child);
		return child;
	}

	const servers = () => instances.flatMap(({addresses}) => ['--server', `http://${addresses.operators}`]);
	const controlAs: Deployment['controlAs'] = async (file, ...parameters) =>
		command('dogwooddeckctl', controlScript, [...parameters, ...servers(), '--token-file', file]);
	const founded = await command('found', daemonScript, ['found', '--settings', voters[0]!.settingsFile, '--operator-token-file', tokenFile]);
	if (founded.code !== 0) {
		throw new FailureError(failure(FailureKind.internal, founded.output));
	}

	for (const instance of instances) {
		start(instance);
	}

	return {
		folder,
		instances,
		upstreams,
		restart: start,
		startUpstream,
		async startUpstreams(plans) {
			const started = plans.map(plan => startUpstream({...plan, announcesLater: true}));
			await eventually('all upstreams listen', readyMilliseconds, () => started.every(child => child.output().includes('event=listening')));
			for (const child of started) {
				child.signal('SIGUSR2');
			}
		},
		control: async (...parameters) => controlAs(tokenFile, ...parameters),
		controlAs,
		async read(instance, where) {
			const {body} = await request(`http://${instance.addresses.operators}${where}`, {headers: {authorization: `Bearer ${operatorToken}`}});
			return body.json();
		},
		async ready() {
			await eventually('all instances are ready', readyMilliseconds, async () => {
				const states = await Promise.all(instances.filter(({child}) => child.running()).map(async instance => isReady(instance)));
				return states.every(Boolean);
			});
		},
		cut(apart) {
			for (const one of instances) {
				one.proxy.cut(instances.filter(other => other !== one && (apart(one, other) || apart(other, one))).map(({addresses}) => addresses.peers));
			}
		},
		heal() {
			for (const {proxy} of instances) {
				proxy.heal();
			}
		},
		async close() {
			const children = [...instances.map(({child}) => child), ...upstreams.values(), ...commands];
			for (const child of children) {
				child.signal('SIGCONT');
			}

			await Promise.all(children.map(async child => child.kill()));
			for (const {proxy} of instances) {
				proxy.close();
			}

			await rm(folder, {recursive: true, force: true});
		},
	};
}
