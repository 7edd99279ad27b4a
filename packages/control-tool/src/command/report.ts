/**
 * `report burn`: the report on service-level burn, from what the servers counted.
 */
import {writeFile} from 'node:fs/promises';
import {OperatorPath} from '@dogwooddeck/configuration/messages';
import {reportPage} from '@dogwooddeck/burn/report-page';
import {reportLines} from '@dogwooddeck/burn/report-text';
import {checkInput, makeReport, type BurnReport} from '@dogwooddeck/burn/report';
import {failure, FailureKind, type Failure} from '@dogwooddeck/model/failure';
import {
	command, oneOf, option, string, subcommands,
} from 'cmd-ts';
import {err, ok, type Result} from 'true-myth/result';
import * as v from 'valibot';
import {send} from '../client.js';
import {OutputFormat, type CommandOutput} from '../output.js';
import {type Connection} from '../profile.js';
import {readProblem} from '../settings-file.js';
import {connectionArguments, withConnection, type CommandRun} from './arguments.js';

/** The forms of the report. */
const ReportFormat = {...OutputFormat, html: 'html'} as const;

type ReportFormat = (typeof ReportFormat)[keyof typeof ReportFormat];

const printers: Readonly<Record<ReportFormat, (report: BurnReport) => string>> = {
	text: report => reportLines(report).join('\n'),
	json: report => JSON.stringify(report, undefined, 2),
	html: report => reportPage(report),
};

async function save(file: string, text: string): Promise<Result<CommandOutput, Failure>> {
	try {
		await writeFile(file, text);
		return ok({data: {file}, lines: [`written to ${file}`]});
	} catch (error) {
		return err(failure(FailureKind.storageFailed, `${file}: ${readProblem(error)}`));
	}
}

async function report(connection: Connection, format: ReportFormat, out: string): Promise<Result<CommandOutput, Failure>> {
	const answer = await send(connection, {path: OperatorPath.burn}, v.unknown());
	const made = answer.andThen(input => checkInput(input))
		.mapErr(reason => reason.kind === FailureKind.malformed ? failure(FailureKind.internal, reason.detail) : reason)
		.map(input => printers[format](makeReport(input)));
	if (made.isErr) {
		return err(made.error);
	}

	return out === '' ? ok({data: undefined, lines: made.value.split('\n')}) : save(out, `${made.value}\n`);
}

const burnCommand = command({
	name: 'burn',
	description: 'Show how fast the services spend the budgets of their objectives',
	args: {
		...connectionArguments,
		format: option({
			long: 'format', type: oneOf(Object.values(ReportFormat)), defaultValue: (): ReportFormat => ReportFormat.text, description: 'text, json or html',
		}),
		out: option({
			long: 'out', type: string, defaultValue: () => '', description: 'file that the report is written to; default: standard output',
		}),
	},
	handler: async ({format, out, ...flags}): Promise<CommandRun> =>
		withConnection({...flags, format: OutputFormat.text}, async connection => report(connection, format, out)),
});

/** The commands under `report`. */
export const reportCommand = subcommands({
	name: 'report',
	description: 'Reports',
	cmds: {burn: burnCommand},
});
