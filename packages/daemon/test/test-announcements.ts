import assert from 'node:assert/strict';
import {test} from 'node:test';
import {emptyControl} from '@dogwooddeck/control/state';
import {FailureKind} from '@dogwooddeck/model/failure';
import {createAnnouncementHandler} from '@dogwooddeck/daemon/announcements';

const key = 'announce-key-of-the-test-0123456789';
const announcement = {
	service: 'team/service', name: 'one', incarnation: 1, region: 'noord', zone: 'noord-a', address: '127.0.0.1:4000', leaving: false, load: 0,
};

const cases: ReadonlyArray<{readonly name: string; readonly token: string; readonly isStopping: boolean; readonly expected: FailureKind}> = [
	{
		name: 'with a wrong key', token: 'wrong', isStopping: true, expected: FailureKind.unauthenticated,
	},
	{
		name: 'at an instance that is stopping', token: key, isStopping: true, expected: FailureKind.notReady,
	},
	{
		name: 'for an unknown service', token: key, isStopping: false, expected: FailureKind.notFound,
	},
];

for (const {
	name, token, isStopping, expected,
} of cases) {
	test(`announcement: rejected ${name}`, async () => {
		const announce = createAnnouncementHandler({
			holder: {state: () => emptyControl}, key, isStopping: () => isStopping, accept: () => assert.fail('it was accepted'),
		});
		const answer = await announce({
			token, author: '', query: {}, body: announcement,
		});
		assert.equal(answer.match({Ok: () => 'accepted', Err: ({kind}) => kind}), expected);
	});
}
