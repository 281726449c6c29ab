/** Evaluation of expressions over one row. */

import type {Expression, Value} from './sql-ast.js';
import {SqlError} from './sql-errors.js';

/** What an expression may refer to. */
export type EvaluationContext = Readonly<{
	parameters: readonly Value[];
	/** Gets the value of a column of the current row. */
	getColumn: (name: string) => Value;
	/** Calls a function of the target. */
	callFunction: (name: string, args: readonly Value[]) => Value;
}>;

const compareValues = (left: Value, right: Value): number => {
	if (typeof left === 'number' || typeof right === 'number') {
		return Number(left) - Number(right);
	}

	if (String(left) === String(right)) {
		return 0;
	}

	return String(left) < String(right) ? -1 : 1;
};

const COMPARISONS: Readonly<Record<string, (order: number) => boolean>> = {
	'=': order => order === 0,
	'<>': order => order !== 0,
	'!=': order => order !== 0,
	'<': order => order < 0,
	'>': order => order > 0,
	'<=': order => order <= 0,
	'>=': order => order >= 0,
};

const ARITHMETIC: Readonly<Record<string, (left: number, right: number) => number>> = {
	'+': (left, right) => left + right,
	'-': (left, right) => left - right,
	'*': (left, right) => left * right,
	'/': (left, right) => Math.trunc(left / right),
};

const applyOperator = (operator: string, left: Value, right: Value): Value => {
	if (left === null || right === null) {
		return null;
	}

	const compare = COMPARISONS[operator];
	if (compare) {
		return compare(compareValues(left, right));
	}

	const compute = ARITHMETIC[operator];
	return compute ? compute(Number(left), Number(right)) : `${String(left)}${String(right)}`;
};

/** Evaluates an expression. */
export const evaluateExpression = (expression: Expression, environment: EvaluationContext): Value => {
	switch (expression.kind) {
		case 'literal': {
			return expression.value;
		}

		case 'parameter': {
			const value = environment.parameters[expression.index];
			if (value === undefined) {
				throw new SqlError('08P01', `there is no parameter $${expression.index + 1}`);
			}

			return value;
		}

		case 'column': {
			return environment.getColumn(expression.name);
		}

		case 'call': {
			return environment.callFunction(expression.name, expression.args.map(argument => evaluateExpression(argument, environment)));
		}

		default: {
			const {operator, left, right} = expression;
			if (operator === 'and') {
				return evaluateExpression(left, environment) === true && evaluateExpression(right, environment) === true;
			}

			if (operator === 'or') {
				return evaluateExpression(left, environment) === true || evaluateExpression(right, environment) === true;
			}

			return applyOperator(operator, evaluateExpression(left, environment), evaluateExpression(right, environment));
		}
	}
};
