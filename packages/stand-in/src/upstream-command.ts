/**
 * The command line of a stand-in upstream.
 */
import process from 'node:process';
import {
	command, flag, number, option, run, string,
} from 'cmd-ts';
import {wallNow} from '@dogwooddeck/clock/monotonic';
import {startUpstream, type StandInUpstream} from './upstream.js';

const announceIntervalMilliseconds = 200;

function splitAddress(address: string): {readonly host: string; readonly port: number} {
	const colon = address.lastIndexOf(':');
	return {host: address.slice(0, colon), port: Number(address.slice(colon + 1))};
}

function handleSignals(upstream: StandInUpstream): void {
	process.once('SIGTERM', () => {
		void upstream.drain();
	});
	process.once('SIGINT', () => {
		void upstream.stop();
	});
	process.once('SIGUSR2', () => {
		upstream.announce();
	});
}

const upstreamCommand = command({
	name: 'stand-in-upstream',
	description: 'Runs a stand-in upstream until SIGTERM, which drains it.',
	args: {
		service: option({type: string, long: 'service'}),
		name: option({type: string, long: 'name'}),
		region: option({type: string, long: 'region'}),
		zone: option({type: string, long: 'zone'}),
		address: option({type: string, long: 'address', defaultValue: () => '127.0.0.1:0'}),
		announceTo: option({type: string, long: 'announce-to', description: 'operator addresses with commas between them'}),
		token: option({type: string, long: 'token', defaultValue: () => ''}),
		checksFence: flag({long: 'checks-fence'}),
		announcesLater: flag({long: 'announces-later', description: 'announces itself only from SIGUSR2 on'}),
		rejoins: flag({long: 'rejoins', description: 'takes a later incarnation when it was judged to be gone'}),
		slots: option({type: number, long: 'slots', defaultValue: () => 3}),
		workMilliseconds: option({type: number, long: 'work-milliseconds', defaultValue: () => 1}),
	},
	async handler({address, announceTo, token, ...options}) {
		const upstream = await startUpstream({
			...options,
			...splitAddress(address),
			incarnation: wallNow(),
			announceTo: {addresses: announceTo.split(','), token, intervalMilliseconds: announceIntervalMilliseconds},
		});
		handleSignals(upstream);
		process.stdout.write(`event=listening address=${upstream.address}\n`);
	},
});

/** Runs the command with the words of a command line. */
export async function runUpstreamCommand(words: readonly string[]): Promise<void> {
	await run(upstreamCommand, [...words]);
}
