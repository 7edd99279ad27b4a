/**
 * Reads one instance's settings from a TOML file and validates them before any
 * port opens.
 */
import {readFile} from 'node:fs/promises';
import path from 'node:path';
import {addressField, duration, nameField} from '@dogwooddeck/configuration/field';
import {parseStrictly, problemsFailure, strictObject} from '@dogwooddeck/configuration/strict-schema';
import {
	failure, type Failure, FailureKind,
} from '@dogwooddeck/model/failure';
import {
	type InstanceName, type Milliseconds, type RegionName, type ZoneName,
} from '@dogwooddeck/model/identifiers';
import {parse, TomlError} from 'smol-toml';
import {err, ok, type Result} from 'true-myth/result';
import * as v from 'valibot';

/** An instance that votes in the control group. */
export type VoterSettings = {
	readonly name: InstanceName;
	/** Its address for other instances, as `IP:port`. */
	readonly peerAddress: string;
};

/** An instance's settings, constant while it runs. */
export type InstanceSettings = {
	readonly name: InstanceName;
	readonly region: RegionName;
	readonly zone: ZoneName;
	readonly addresses: {
		/** For callers. */
		readonly callers: string;
		/** For operators, upstreams, the balancer and scrapers. */
		readonly operators: string;
		/** For other instances. */
		readonly peers: string;
	};
	readonly control: {
		/** The instances that vote. This instance is a voter if it is listed here. */
		readonly voters: readonly VoterSettings[];
		/** The folder of the durable state. Voters need one. */
		readonly dataFolder?: string;
	};
	readonly keys: {
		/** Authenticates instances to each other. */
		readonly peer: string;
		/** Authenticates upstreams. */
		readonly announce: string;
	};
	readonly stop: {
		/** From "not ready" until no more connections are accepted. */
		readonly balancerDelayMilliseconds: Milliseconds;
		/** The longest wait for requests in flight. */
		readonly longestMilliseconds: Milliseconds;
	};
};

const maximumDelayMilliseconds = 600_000;
const pathField = v.pipe(v.string(), v.nonEmpty('expected the path of a file'), v.maxLength(4096));

const schema = strictObject({
	name: nameField,
	region: nameField,
	zone: nameField,
	addresses: strictObject({callers: addressField, operators: addressField, peers: addressField}),
	control: strictObject({
		voters: v.pipe(
			v.array(strictObject({name: nameField, peers: addressField})),
			v.minLength(1, 'expected at least one voter'),
			v.maxLength(7, 'expected at most 7 voters'),
			v.check(voters => new Set(voters.map(({name}) => name)).size === voters.length, 'expected each voter once'),
		),
		data_folder: v.exactOptional(pathField),
	}),
	keys: strictObject({peer_file: pathField, announce_file: pathField}),
	stop: v.exactOptional(strictObject({
		balancer_delay: v.exactOptional(duration(0, maximumDelayMilliseconds), '1 s'),
		longest: v.exactOptional(duration(0, maximumDelayMilliseconds), '30 s'),
	}), {}),
});

type FileSettings = v.InferOutput<typeof schema>;

async function readText(file: string): Promise<Result<string, Failure>> {
	try {
		return ok(await readFile(file, 'utf8'));
	} catch (error) {
		return err(failure(FailureKind.settingsInvalid, `${file}: ${(error as Error).message}`, {
			problems: [{file, path: '', reason: (error as Error).message}],
		}));
	}
}

function parseToml(text: string, file: string): Result<unknown, Failure> {
	try {
		return ok(parse(text));
	} catch (error) {
		const reason = (error as Error).message.split('\n', 1)[0]!;
		const location = error instanceof TomlError ? `line ${error.line}` : '';
		return err(problemsFailure([{file, path: location, reason}]));
	}
}

const minimumKeyCharacters = 16;

async function readKey(file: string, folder: string, field: string): Promise<Result<string, Failure>> {
	const read = await readText(path.resolve(folder, file));
	return read.map(text => text.trim()).andThen(key => key.length >= minimumKeyCharacters
		? ok(key)
		: err(problemsFailure([{file, path: field, reason: `expected a key of at least ${minimumKeyCharacters} characters`}])));
}

function crossFieldProblems(settings: FileSettings, file: string) {
	const voter = settings.control.voters.find(({name}) => name === settings.name);
	if (voter === undefined) {
		return [];
	}

	return [
		...(settings.control.data_folder === undefined
			? [{file, path: 'control.data_folder', reason: 'missing, and a voter needs one'}]
			: []),
		...(voter.peers === settings.addresses.peers
			? []
			: [{file, path: 'control.voters', reason: `${voter.name} is listed here with ${voter.peers}, but addresses.peers is ${settings.addresses.peers}`}]),
	];
}

function settingsOf(settings: FileSettings, folder: string, keys: InstanceSettings['keys']): InstanceSettings {
	const dataFolder = settings.control.data_folder;
	return {
		name: settings.name,
		region: settings.region,
		zone: settings.zone,
		addresses: settings.addresses,
		control: {
			voters: settings.control.voters.map(({name, peers}) => ({name, peerAddress: peers})),
			...(dataFolder === undefined ? {} : {dataFolder: path.resolve(folder, dataFolder)}),
		},
		keys,
		stop: {
			balancerDelayMilliseconds: settings.stop.balancer_delay,
			longestMilliseconds: settings.stop.longest,
		},
	};
}

/**
 * Reads an instance's settings. Paths in the file are relative to its folder.
 * Fails with `settingsInvalid`, with the file, the path in it and the reason.
 */
export async function loadSettings(file: string): Promise<Result<InstanceSettings, Failure>> {
	const text = await readText(file);
	const parsed = text.andThen(content => parseToml(content, file)).andThen(value => parseStrictly(schema, value, file));
	if (parsed.isErr) {
		return err(parsed.error);
	}

	const problems = crossFieldProblems(parsed.value, file);
	if (problems.length > 0) {
		return err(problemsFailure(problems));
	}

	const folder = path.dirname(path.resolve(file));
	const peer = await readKey(parsed.value.keys.peer_file, folder, 'keys.peer_file');
	const announce = await readKey(parsed.value.keys.announce_file, folder, 'keys.announce_file');
	return peer.andThen(peerKey => announce.map(announceKey => settingsOf(parsed.value, folder, {peer: peerKey, announce: announceKey})));
}

/** Whether an instance is listed as a voter. */
export function isVoter(settings: InstanceSettings): boolean {
	return settings.control.voters.some(({name}) => name === settings.name);
}
