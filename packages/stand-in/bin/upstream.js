#!/usr/bin/env node
import process from 'node:process';
import {runUpstreamCommand} from '../dist/src/upstream-command.js';

await runUpstreamCommand(process.argv.slice(2));
