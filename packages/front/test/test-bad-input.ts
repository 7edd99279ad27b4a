/**
 * Sends invalid HTTP to the operator server as raw bytes: each request is rejected
 * with a problem body and reaches no handler, and the next request succeeds.
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

const handledRequests: ApiRequest[] = [];
let server: FrontServer;

const handle: ApiHandler = async request => {
	handledRequests.push(request);
	return ok({taken: true});
};

const operatorApi: OperatorApi = {
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
	const started = await startOperatorServer('127.0.0.1:0', operatorApi, {readiness: () => ({ready: true, reason: ''}), metrics: () => ''});
	assert.ok(started.isOk);
	server = started.value;
});

after(async () => server.close());

type Answer = {readonly status: number; readonly type: string; readonly body: string};

/** Sends bytes on a new connection and reads until the server closes it. */
async function exchange(bytes: string): Promise<Answer> {
	const [host, port] = server.address.split(':');
	const socket = connect(Number(port), host);
	socket.on('error', () => {
		// A server that rejects a body may close the connection before it has read all of it.
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
const oversizedText = 'x'.repeat(largestOperatorBody);

function applyRequest(body: string, headers: readonly string[] = json): string {
	return request('POST', '/operator/apply', headers, body);
}

const invalidRequests: ReadonlyArray<readonly [name: string, bytes: string, status: number, kind: FailureKind]> = [
	['a body over the limit', applyRequest(`"${oversizedText}"`), 413, FailureKind.tooLarge],
	['an announcement over the limit', request('POST', '/announce', json, `"${oversizedText}"`), 413, FailureKind.tooLarge],
	['a chunked body over the limit', request('POST', '/operator/apply', [...json, 'transfer-encoding: chunked'])
	+ `${(oversizedText.length + 2).toString(16)}\r\n"${oversizedText}"\r\n0\r\n\r\n`, 413, FailureKind.tooLarge],
	['a body that is not JSON', applyRequest('{'), 400, FailureKind.malformed],
	['an empty body', request('POST', '/operator/apply', [...json, 'content-length: 0']), 400, FailureKind.malformed],
	['a body with a __proto__ field', applyRequest('{"__proto__": {"team": "bermrand"}}'), 400, FailureKind.malformed],
	['a body with a constructor.prototype field', applyRequest('{"constructor": {"prototype": {}}}'), 400, FailureKind.malformed],
	['an unsupported content type', applyRequest('team = "bermrand"', ['content-type: application/toml']), 400, FailureKind.malformed],
	['a form body', applyRequest('team=bermrand', ['content-type: application/x-www-form-urlencoded']), 400, FailureKind.malformed],
	['a plain text body', applyRequest('{}', ['content-type: text/plain']), 400, FailureKind.malformed],
	['a body without a content type', applyRequest('{}', []), 400, FailureKind.malformed],
	['an invalid content type', applyRequest('{}', ['content-type: json']), 400, FailureKind.malformed],
	['a body shorter than its content length', request('POST', '/operator/apply', [...json, 'content-length: 9']) + '{}', 400, FailureKind.malformed],
	['a content length with chunked encoding', request('POST', '/operator/apply', [...json, 'content-length: 2', 'transfer-encoding: chunked']) + '{}', 400, FailureKind.malformed],
	['two content lengths', request('POST', '/operator/apply', [...json, 'content-length: 2', 'content-length: 3']) + '{}', 400, FailureKind.malformed],
	['a header over the limit', request('GET', '/operator/status', [`x-large: ${'h'.repeat(20_000)}`]), 431, FailureKind.tooLarge],
	['a path over the limit', request('GET', `/operator/status?a=${'p'.repeat(20_000)}`), 431, FailureKind.tooLarge],
	['bytes that are not HTTP', 'hello there\r\n\r\n', 400, FailureKind.malformed],
	['a header line without a colon', request('GET', '/operator/status', ['no colon']), 400, FailureKind.malformed],
	['a path with a parent segment', request('GET', '/operator/../operator/status'), 404, FailureKind.notFound],
	['a path with an encoded parent segment', request('GET', '/operator/%2e%2e/operator/status'), 404, FailureKind.notFound],
	['an encoded slash', request('GET', '/operator%2fstatus'), 404, FailureKind.notFound],
	['a double slash', request('GET', '//operator/status'), 404, FailureKind.notFound],
	['a trailing slash', request('GET', '/operator/status/'), 404, FailureKind.notFound],
	['a path in another letter case', request('GET', '/Operator/Status'), 404, FailureKind.notFound],
	['a null byte', request('GET', '/operator/status%00'), 404, FailureKind.notFound],
	['invalid percent-encoding', request('GET', '/operator/%zz'), 400, FailureKind.malformed],
	['a path that names an inherited property', request('GET', '/operator/constructor'), 404, FailureKind.notFound],
	['an unsupported method', request('DELETE', '/operator/apply'), 404, FailureKind.notFound],
	['POST to a GET route', request('POST', '/operator/status', json, '{}'), 404, FailureKind.notFound],
	['GET on a POST route', request('GET', '/operator/apply'), 404, FailureKind.notFound],
];

for (const [name, bytes, status, kind] of invalidRequests) {
	test(`invalid HTTP is rejected: ${name}`, async () => {
		handledRequests.length = 0;
		const answer = await exchange(bytes);
		assert.equal(answer.status, status, answer.body);
		assert.equal(answer.type, problemMediaType);
		assert.equal((JSON.parse(answer.body) as {readonly kind: string}).kind, kind, answer.body);
		assert.deepEqual(handledRequests, []);
		const next = await exchange(request('GET', '/live'));
		assert.equal(next.status, 200);
	});
}

const ambiguousRequests: ReadonlyArray<readonly [name: string, bytes: string, expected: Partial<ApiRequest>]> = [
	['the last of two fields with the same name is used', applyRequest('{"base": 1, "base": 2}'), {body: {base: 2}}],
	['the first of two tokens is used', request('GET', '/operator/status', ['authorization: Bearer one', 'authorization: Bearer two']), {token: 'one'}],
	['a token of another scheme is ignored', request('GET', '/operator/status', ['authorization: Basic b25l']), {token: ''}],
	['a repeated parameter is ignored', request('GET', '/operator/history?team=a&team=b'), {query: {}}],
	['a parameter named as an inherited property is accepted', request('GET', '/operator/history?constructor=a'), {query: {constructor: 'a'}}],
];

for (const [name, bytes, expected] of ambiguousRequests) {
	test(`ambiguous HTTP is interpreted consistently: ${name}`, async () => {
		handledRequests.length = 0;
		const answer = await exchange(bytes);
		assert.equal(answer.status, 200, answer.body);
		assert.deepEqual({...handledRequests[0], ...expected}, handledRequests[0]);
	});
}
