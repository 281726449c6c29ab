#!/usr/bin/env node
/** Command-line program `guavapitch-proxy`: runs a proxy until SIGTERM or SIGINT. */

import process from 'node:process';
import {createRuntime} from '@guavapitch/core';
import {startProxy} from './process.js';
import {parseSettings} from './settings.js';

const EXIT_SETTING = 2;
const EXIT_ADDRESS = 3;
const FIRST_ARGUMENT_INDEX = 2;

const argv = process.argv.slice(FIRST_ARGUMENT_INDEX);
const isHelpOrVersionRequested = argv.includes('--help') || argv.includes('--version');
const settings = await parseSettings(isHelpOrVersionRequested ? [...argv, '--vm', 'none', '--data-centre', 'none'] : argv);
if (isHelpOrVersionRequested) {
	process.exitCode = 0;
} else if (settings.err) {
	process.stderr.write(`guavapitch-proxy: ${settings.val.message}\n`);
	process.exitCode = EXIT_SETTING;
} else {
	const proxy = await startProxy(settings.val, createRuntime());
	if (proxy.err) {
		process.stderr.write(`guavapitch-proxy: ${proxy.val.message}\n`);
		process.exitCode = EXIT_ADDRESS;
	} else {
		const stop = () => {
			void proxy.val.stop();
		};

		process.once('SIGTERM', stop);
		process.once('SIGINT', stop);
	}
}
