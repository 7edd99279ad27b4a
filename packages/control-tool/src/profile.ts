/**
 * How the tool reaches the deployment: from flags, and what they leave out from
 * a TOML profile.
 */
import path from 'node:path';
import {duration, nameField} from '@dogwooddeck/configuration/field';
import {parseDuration} from '@dogwooddeck/configuration/quantity';
import {parseStrictly, strictObject} from '@dogwooddeck/configuration/strict-schema';
import {failure, FailureKind, type Failure} from '@dogwooddeck/model/failure';
import {type Milliseconds, type TeamName} from '@dogwooddeck/model/identifiers';
import {err, ok, type Result} from 'true-myth/result';
import * as v from 'valibot';
import {readText, readToml} from './settings-file.js';

/** What the flags give; an empty text or list stands for a flag that wasn't given. */
export type ConnectionFlags = {
	readonly servers: readonly string[];
	readonly tokenFile: string;
	readonly profile: string;
	readonly timeout: string;
};

/** How requests are sent. The token is secret. */
export type Connection = {
	/** The servers' addresses, in the order in which they are tried. */
	readonly servers: readonly string[];
	readonly token?: string;
	/** The time for one answer. */
	readonly timeoutMilliseconds: Milliseconds;
	/** The team that the profile names. */
	readonly team?: TeamName;
};

type Profile = {
	readonly servers?: readonly string[];
	readonly token_file?: string;
	readonly team?: TeamName;
	readonly timeout?: Milliseconds;
};

const defaultTimeoutMilliseconds = 10_000;
const longestTimeoutMilliseconds = 600_000;

function isServer(text: string): boolean {
	return URL.canParse(text) && ['http:', 'https:'].includes(new URL(text).protocol);
}

const serverReason = 'expected an address such as "http://127.0.0.1:7100"';

const profileSchema = strictObject({
	servers: v.exactOptional(v.pipe(v.array(v.pipe(v.string(), v.check(isServer, serverReason))), v.minLength(1, 'expected a server'))),
	token_file: v.exactOptional(v.string()),
	team: v.exactOptional(nameField),
	timeout: v.exactOptional(duration(1, longestTimeoutMilliseconds)),
});

async function readProfile(file: string): Promise<Result<Profile, Failure>> {
	if (file === '') {
		return ok({});
	}

	const content = await readToml(file);
	const profile = content.andThen(parsed => parseStrictly(profileSchema, parsed, file));
	return profile.map(({token_file: tokenFile, ...rest}) => tokenFile === undefined
		? rest
		: {...rest, token_file: path.resolve(path.dirname(file), tokenFile)});
}

async function readToken(file: string): Promise<Result<string | undefined, Failure>> {
	if (file === '') {
		return ok(undefined);
	}

	const text = await readText(file);
	return text.map(content => content.trim());
}

function chosenServers(flags: ConnectionFlags, profile: Profile): Result<readonly string[], Failure> {
	const wrong = flags.servers.find(server => !isServer(server));
	if (wrong !== undefined) {
		return err(failure(FailureKind.settingsInvalid, `--server: ${serverReason}, found "${wrong}"`));
	}

	const servers = flags.servers.length > 0 ? flags.servers : profile.servers ?? [];
	return servers.length > 0 ? ok(servers) : err(failure(FailureKind.settingsInvalid, '--server: no server is given, nor does a profile name one'));
}

function chosenTimeout(flags: ConnectionFlags, profile: Profile): Result<Milliseconds, Failure> {
	const timeout = flags.timeout === '' ? profile.timeout ?? defaultTimeoutMilliseconds : parseDuration(flags.timeout);
	return timeout === undefined || timeout < 1 || timeout > longestTimeoutMilliseconds
		? err(failure(FailureKind.settingsInvalid, `--timeout: expected a duration such as "10 s", found "${flags.timeout}"`))
		: ok(timeout);
}

/** Reads the profile and the token. Fails with `settingsInvalid`; a token is never part of a message. */
export async function readConnection(flags: ConnectionFlags): Promise<Result<Connection, Failure>> {
	const profile = await readProfile(flags.profile);
	if (profile.isErr) {
		return err(profile.error);
	}

	const token = await readToken(flags.tokenFile === '' ? profile.value.token_file ?? '' : flags.tokenFile);
	const {team} = profile.value;
	return token.andThen(secret => chosenServers(flags, profile.value).andThen(servers =>
		chosenTimeout(flags, profile.value).map(timeoutMilliseconds => ({
			servers, timeoutMilliseconds, ...(secret === undefined ? {} : {token: secret}), ...(team === undefined ? {} : {team}),
		}))));
}
