/**
 * What the operators' server does with bad HTTP, byte by byte: each request is
 * refused with a problem body, reaches no handler, and the next one is answered.
 */
import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {text} from 'node:stream/consumers';
import {after, before, test} from 'node:test';
import {largestOperatorBody} from '@dogwooddeck/configuration/messages';
import {problemMediaType} from '@dogwooddeck/configuration/problem';
import {FailureKind} from '@dogwooddeck/model/failure';
import {ok} from 'true-myth/result';
import {
	type FrontServer, type OperatorApi, type ApiHandler, type ApiRequest,
} from '@dogwooddeck/front/api';
import {startOperatorServer} from '@dogwooddeck/front/operator-server';

const reached: ApiRequest[] = [];
let server: FrontServer;

const handle: ApiHandler = async request => {
	reached.push(request);
	return ok({taken: true});
};

const surface: OperatorApi = {
	apply: handle,
	configuration: handle,
	history: handle,
	owners: handle,
	status: handle,
	members: handle,
	move: handle,
	drain: handle,
	zoneDeclareLost: handle,
	token: handle,
	burn: handle,
	announce: handle,
};

before(async () => {
	const started = await startOperatorServer('127.0.0.1:0', surface, {readiness: () => ({ready: true, reason: ''}), metrics: () => ''});
	assert.ok(started.isOk);
	server = started.value;
});

after(async () => server.close());

type Answer = {readonly status: number; readonly type: string; readonly body: string};

/** Sends bytes on a connection of their own and reads until the server closes it. */
async function exchange(bytes: string): Promise<Answer> {
	const [host, port] = server.address.split(':');
	const socket = connect(Number(port), host);
	socket.on('error', () => {
		// A server that refuses a body may close before it has read all of it.
	});
	socket.end(bytes);
	const received = await text(socket);
	const [head = '', ...body] = received.split('\r\n\r\n');
	return {
		status: Number(head.split(' ')[1] ?? 0), type: /^content-type: (\S+?);?(?:\s|$)/imv.exec(head)?.[1] ?? '', body: body.join('\r\n\r\n'),
	};
}

function request(method: string, path: string, headers: readonly string[] = [], body = ''): string {
	const length = body === '' ? [] : [`content-length: ${body.length}`];
	return [`${method} ${path} HTTP/1.1`, 'host: here', 'connection: close', ...headers, ...length, '', body].join('\r\n');
}

const json = ['content-type: application/json'];
const large = 'x'.repeat(largestOperatorBody);

function posted(body: string, headers: readonly string[] = json): string {
	return request('POST', '/operator/apply', headers, body);
}

const refused: ReadonlyArray<readonly [name: string, bytes: string, status: number, kind: FailureKind]> = [
	['a body over the bound', posted(`"${large}"`), 413, FailureKind.tooLarge],
	['an announcement over the bound', request('POST', '/announce', json, `"${large}"`), 413, FailureKind.tooLarge],
	['a body over the bound in chunks', request('POST', '/operator/apply', [...json, 'transfer-encoding: chunked'])
	+ `${(large.length + 2).toString(16)}\r\n"${large}"\r\n0\r\n\r\n`, 413, FailureKind.tooLarge],
	['a body that is no JSON', posted('{'), 400, FailureKind.malformed],
	['a body that is empty', request('POST', '/operator/apply', [...json, 'content-length: 0']), 400, FailureKind.malformed],
	['a body with a prototype', posted('{"__proto__": {"team": "bermrand"}}'), 400, FailureKind.malformed],
	['a body with a constructor\'s prototype', posted('{"constructor": {"prototype": {}}}'), 400, FailureKind.malformed],
	['a body of another type', posted('team = "bermrand"', ['content-type: application/toml']), 400, FailureKind.malformed],
	['a form', posted('team=bermrand', ['content-type: application/x-www-form-urlencoded']), 400, FailureKind.malformed],
	['a text', posted('{}', ['content-type: text/plain']), 400, FailureKind.malformed],
	['a body of no type', posted('{}', []), 400, FailureKind.malformed],
	['a type that is none', posted('{}', ['content-type: json']), 400, FailureKind.malformed],
	['a body shorter than its length', request('POST', '/operator/apply', [...json, 'content-length: 9']) + '{}', 400, FailureKind.malformed],
	['a length beside chunks', request('POST', '/operator/apply', [...json, 'content-length: 2', 'transfer-encoding: chunked']) + '{}', 400, FailureKind.malformed],
	['two lengths', request('POST', '/operator/apply', [...json, 'content-length: 2', 'content-length: 3']) + '{}', 400, FailureKind.malformed],
	['a header over the bound', request('GET', '/operator/status', [`x-large: ${'h'.repeat(20_000)}`]), 431, FailureKind.tooLarge],
	['a path over the bound', request('GET', `/operator/status?a=${'p'.repeat(20_000)}`), 431, FailureKind.tooLarge],
	['no HTTP', 'hello there\r\n\r\n', 400, FailureKind.malformed],
	['a header that is none', request('GET', '/operator/status', ['no colon']), 400, FailureKind.malformed],
	['a path that leaves its folder', request('GET', '/operator/../operator/status'), 404, FailureKind.notFound],
	['an encoded path that leaves its folder', request('GET', '/operator/%2e%2e/operator/status'), 404, FailureKind.notFound],
	['an encoded slash', request('GET', '/operator%2fstatus'), 404, FailureKind.notFound],
	['two slashes', request('GET', '//operator/status'), 404, FailureKind.notFound],
	['a slash at the end', request('GET', '/operator/status/'), 404, FailureKind.notFound],
	['another case', request('GET', '/Operator/Status'), 404, FailureKind.notFound],
	['a null byte', request('GET', '/operator/status%00'), 404, FailureKind.notFound],
	['an encoding that is none', request('GET', '/operator/%zz'), 400, FailureKind.malformed],
	['a path that every object has', request('GET', '/operator/constructor'), 404, FailureKind.notFound],
	['another method', request('DELETE', '/operator/apply'), 404, FailureKind.notFound],
	['a read as a write', request('POST', '/operator/status', json, '{}'), 404, FailureKind.notFound],
	['a write as a read', request('GET', '/operator/apply'), 404, FailureKind.notFound],
];

for (const [name, bytes, status, kind] of refused) {
	test(`bad HTTP is refused: ${name}`, async () => {
		reached.length = 0;
		const answer = await exchange(bytes);
		assert.equal(answer.status, status, answer.body);
		assert.equal(answer.type, problemMediaType);
		assert.equal((JSON.parse(answer.body) as {readonly kind: string}).kind, kind, answer.body);
		assert.deepEqual(reached, []);
		const next = await exchange(request('GET', '/live'));
		assert.equal(next.status, 200);
	});
}

const taken: ReadonlyArray<readonly [name: string, bytes: string, expected: Partial<ApiRequest>]> = [
	['of a field that stands twice the last counts', posted('{"base": 1, "base": 2}'), {body: {base: 2}}],
	['of two tokens the first counts', request('GET', '/operator/status', ['authorization: Bearer one', 'authorization: Bearer two']), {token: 'one'}],
	['a token of another scheme is none', request('GET', '/operator/status', ['authorization: Basic b25l']), {token: ''}],
	['a parameter that stands twice is none', request('GET', '/operator/history?team=a&team=b'), {query: {}}],
	['a parameter that every object has is a parameter', request('GET', '/operator/history?constructor=a'), {query: {constructor: 'a'}}],
];

for (const [name, bytes, expected] of taken) {
	test(`unclear HTTP is taken in one way: ${name}`, async () => {
		reached.length = 0;
		const answer = await exchange(bytes);
		assert.equal(answer.status, 200, answer.body);
		assert.deepEqual({...reached[0], ...expected}, reached[0]);
	});
}
