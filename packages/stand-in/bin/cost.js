#!/usr/bin/env node
import process from 'node:process';
import {runCostCommand} from '../dist/src/cost.js';

await runCostCommand(new URL(import.meta.url).pathname, process.argv.slice(2));
