import assert from 'node:assert/strict';
import {fork} from 'node:child_process';
import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {text} from 'node:stream/consumers';
import {test, type TestContext} from 'node:test';
import {type Announcement} from '@dogwooddeck/model/registry';
import {type AnnouncementAnswer, type Grant} from '@dogwooddeck/stand-in/announcer';
import {startUpstream} from '@dogwooddeck/stand-in/upstream';

type FakeOperator = {
	readonly server: Server;
	readonly address: string;
	readonly announcements: Announcement[];
	readonly tokens: Set<string | undefined>;
	grants: readonly Grant[];
	accepts: boolean;
};

async function answerAnnouncement(operator: FakeOperator, request: IncomingMessage, response: ServerResponse): Promise<void> {
	operator.announcements.push(JSON.parse(await text(request)) as Announcement);
	operator.tokens.add(request.headers.authorization);
	const answer: AnnouncementAnswer = {accepted: operator.accepts, grants: operator.grants};
	response.end(JSON.stringify(answer));
}

async function startOperator(t: TestContext): Promise<FakeOperator> {
	const server = createServer((request, response) => {
		void answerAnnouncement(operator, request, response);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const operator: FakeOperator = {
		server, address: `127.0.0.1:${(server.address() as AddressInfo).port}`, announcements: [], tokens: new Set(), grants: [], accepts: true,
	};
	t.after(() => {
		server.closeAllConnections();
		server.close();
	});
	return operator;
}

async function until(holds: () => boolean): Promise<void> {
	while (!holds()) {
		await new Promise(resolve => {
			setTimeout(resolve, 5);
		});
	}
}

const cases: ReadonlyArray<{readonly name: string; readonly firstIs: 'lost' | 'refusing'}> = [
	{name: 'an instance that is lost', firstIs: 'lost'},
	{name: 'an instance that refuses', firstIs: 'refusing'},
];

for (const {name, firstIs} of cases) {
	test(`announcer: the next address is tried after ${name}`, async t => {
		const first = await startOperator(t);
		const second = await startOperator(t);
		first.accepts = false;
		if (firstIs === 'lost') {
			first.server.close();
		}

		second.grants = [{slot: 4, fence: 9}];
		const upstream = await startUpstream({announceTo: {addresses: [first.address, second.address], token: 'secret', intervalMilliseconds: 5}});
		await until(() => (upstream.announcer?.accepted ?? 0) > 2);
		assert.deepEqual(upstream.announcer?.grants, [{slot: 4, fence: 9}]);
		assert.deepEqual([...second.tokens], ['Bearer secret']);
		assert.equal(second.announcements[0]!.address, upstream.address);
		await upstream.stop();
	});
}

test('announcer: SIGTERM announces leaving, and the process ends once it has no grants', async t => {
	const operator = await startOperator(t);
	operator.grants = [{slot: 1, fence: 1}];
	const script = new URL('../../bin/upstream.js', import.meta.url).pathname;
	const child = fork(script, ['--service', 's', '--name', 'one', '--region', 'noord', '--zone', 'noord-1', '--announce-to', operator.address, '--token', 'secret'], {silent: true});
	const ended = once(child, 'exit');
	await until(() => operator.announcements.length > 0);
	child.kill('SIGTERM');
	await until(() => operator.announcements.at(-1)!.leaving);
	assert.equal(child.exitCode, null);
	operator.grants = [];
	assert.deepEqual(await ended, [0, null]);
});

test('announcer: an upstream that announces itself later does so from SIGUSR2 on', async t => {
	const operator = await startOperator(t);
	const script = new URL('../../bin/upstream.js', import.meta.url).pathname;
	const place = ['--service', 's', '--name', 'one', '--region', 'noord', '--zone', 'noord-1'];
	const child = fork(script, [...place, '--announce-to', operator.address, '--announces-later'], {silent: true});
	t.after(() => child.kill());
	await once(child.stdout!, 'data');
	assert.equal(operator.announcements.length, 0);
	child.kill('SIGUSR2');
	await until(() => operator.announcements.length > 0);
});
