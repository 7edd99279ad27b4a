/**
 * A fake of the operators' surface: the decisions of the configuration package
 * behind a plain HTTP server that can lose answers.
 */
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {text} from 'node:stream/consumers';
import {applyConfiguration} from '@dogwooddeck/configuration/apply';
import {authorityOf, hashToken, requireTeam} from '@dogwooddeck/configuration/authority';
import {OperatorPath, parseApplyRequest, parseTokenRequest} from '@dogwooddeck/configuration/messages';
import {problemOfFailure} from '@dogwooddeck/configuration/problem';
import {initialConfiguration, subtreeOf, type ConfigurationCommand} from '@dogwooddeck/configuration/tree';
import {failure, FailureKind, type Failure} from '@dogwooddeck/model/failure';
import {err, ok, type Result} from 'true-myth/result';

/** What happens to the answers of a server, one after the other; afterwards all is well. */
export const Fault = {
	/** The request is carried out and its answer is lost. */
	answerLost: 'answer-lost',
	/** The connection is cut before the request is carried out. */
	requestLost: 'request-lost',
	/** No majority can be reached. */
	noQuorum: 'no-quorum',
	/** The request is carried out, and something in between answers with a page of its own. */
	foreignAnswer: 'foreign-answer',
	none: 'none',
} as const;

/** One of the faults. */
export type Fault = (typeof Fault)[keyof typeof Fault];

/** What the servers of one deployment share. */
export class FakeDeployment {
	state = initialConfiguration;
	index = 0;
	/** Polls of the members before the newest entry is applied everywhere. */
	lag = 2;

	/** Applies a command as the next entry of the log. */
	change(command: ConfigurationCommand): Result<unknown, Failure> {
		this.index += 1;
		const applied = applyConfiguration(this.state, command, this.index);
		this.state = applied.state;
		return applied.answer;
	}
}

type Handler = (deployment: FakeDeployment, request: IncomingMessage, body: unknown) => Result<unknown, Failure>;

function authorised(deployment: FakeDeployment, request: IncomingMessage, team: string): Result<unknown, Failure> {
	const token = (request.headers.authorization ?? '').replace('Bearer ', '');
	return authorityOf(deployment.state, hashToken(token)).andThen(authority => requireTeam(authority, team));
}

function member(name: string, alive: boolean, applied: number) {
	const address = '127.0.0.1:1';
	return {
		name, incarnation: 1, region: 'noord', zone: 'noord-a', peerAddress: address, callerAddress: address, operatorAddress: address, alive, applied, voter: true,
	};
}

function members(deployment: FakeDeployment) {
	deployment.lag = Math.max(0, deployment.lag - 1);
	const lagging = deployment.lag > 0 ? 0 : deployment.index;
	return ok({
		instances: [member('entry-0', true, deployment.index), member('entry-1', true, lagging), member('entry-2', false, 0)],
		upstreams: [],
	});
}

const handlers: Readonly<Record<string, Handler>> = {
	[OperatorPath.apply]: (deployment, request, body) => parseApplyRequest(body).andThen(wanted =>
		authorised(deployment, request, wanted.team).andThen(() => deployment.change({
			kind: 'subtreeApplied', ...wanted, author: String(request.headers['dogwooddeck-author']), at: 0,
		}))),
	[OperatorPath.token]: (deployment, request, body) => parseTokenRequest(body).andThen(({token, ...wanted}) =>
		authorised(deployment, request, '*').andThen(() => deployment.change({
			kind: 'tokenSet', ...wanted, tokenHash: hashToken(token), at: 0,
		}))),
	[OperatorPath.configuration](deployment, request) {
		const {team, revision, services} = subtreeOf(deployment.state, new URL(request.url!, 'http://fake').searchParams.get('team')!);
		return ok({team, revision, services});
	},
	[OperatorPath.history](deployment, request) {
		const {team, history} = subtreeOf(deployment.state, new URL(request.url!, 'http://fake').searchParams.get('team')!);
		return ok({team, entries: history});
	},
	[OperatorPath.members]: members,
	[OperatorPath.burn]: () => ok({
		at: 1_796_378_400_000,
		objectives: [{
			service: 'bermrand/booking', name: 'available', target: 0.999, periodDays: 28,
		}],
		expected: ['entry-0', 'entry-1'],
		instances: [{instance: 'entry-0', intervals: [], loads: []}],
		figures: [],
	}),
	[OperatorPath.status]: () => ok({instance: 'entry-0'}),
	[OperatorPath.owners]: () => err(failure(FailureKind.notFound, 'no such service')),
};

function answer(response: ServerResponse, result: Result<unknown, Failure>): void {
	const status = result.isOk ? 200 : problemOfFailure(result.error).status;
	response.writeHead(status, {'content-type': result.isOk ? 'application/json' : 'application/problem+json'});
	response.end(JSON.stringify(result.isOk ? result.value : problemOfFailure(result.error)));
}

const responders: Readonly<Record<Fault, (response: ServerResponse, carryOut: () => Result<unknown, Failure>) => void>> = {
	[Fault.none](response, carryOut) {
		answer(response, carryOut());
	},
	[Fault.answerLost](response, carryOut) {
		carryOut();
		response.destroy();
	},
	[Fault.requestLost](response) {
		response.destroy();
	},
	[Fault.foreignAnswer](response, carryOut) {
		carryOut();
		response.end('<html>');
	},
	[Fault.noQuorum](response) {
		answer(response, err(failure(FailureKind.noQuorum, 'no majority of the voters can be reached')));
	},
};

/** Starts a server of a deployment on loopback; the faults befall its writes. */
export async function startFakeOperator(deployment: FakeDeployment, faults: readonly Fault[]): Promise<{readonly url: string; close(): void}> {
	const left = [...faults];
	const server = createServer(async (request, response) => {
		const content = await text(request);
		const path = request.url!.split('?', 1)[0]!;
		const fault = request.method === 'POST' ? left.shift() ?? Fault.none : Fault.none;
		responders[fault](response, () => handlers[path]!(deployment, request, content === '' ? undefined : JSON.parse(content)));
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const address = server.address() as {readonly port: number};
	return {
		url: `http://127.0.0.1:${address.port}`,
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
}
