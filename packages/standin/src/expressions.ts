/** Evaluation of expressions for one row. */

import type {Expression, Value} from './sql-ast.js';
import {SqlError} from './sql-errors.js';

/** Values and functions that an expression may refer to. */
export type EvaluationContext = Readonly<{
	parameters: readonly Value[];
	/** Returns the value of a column of the current row; throws an `SqlError` if it does not exist. */
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

const COMPARISON_OPERATORS: Readonly<Record<string, (order: number) => boolean>> = {
	'=': order => order === 0,
	'<>': order => order !== 0,
	'!=': order => order !== 0,
	'<': order => order < 0,
	'>': order => order > 0,
	'<=': order => order <= 0,
	'>=': order => order >= 0,
};

const ARITHMETIC_OPERATORS: Readonly<Record<string, (left: number, right: number) => number>> = {
	'+': (left, right) => left + right,
	'-': (left, right) => left - right,
	'*': (left, right) => left * right,
	'/': (left, right) => Math.trunc(left / right),
};

const applyOperator = (operator: string, left: Value, right: Value): Value => {
	if (left === null || right === null) {
		return null;
	}

	const compare = COMPARISON_OPERATORS[operator];
	if (compare) {
		return compare(compareValues(left, right));
	}

	const compute = ARITHMETIC_OPERATORS[operator];
	return compute ? compute(Number(left), Number(right)) : `${String(left)}${String(right)}`;
};

/** Evaluates an expression; throws an `SqlError` if a parameter, a column or a function does not exist. */
export const evaluateExpression = (expression: Expression, context: EvaluationContext): Value => {
	switch (expression.kind) {
		case 'literal': {
			return expression.value;
		}

		case 'parameter': {
			const value = context.parameters[expression.index];
			if (value === undefined) {
				throw new SqlError('08P01', `there is no parameter $${expression.index + 1}`);
			}

			return value;
		}

		case 'column': {
			return context.getColumn(expression.name);
		}

		case 'call': {
			return context.callFunction(expression.name, expression.args.map(argument => evaluateExpression(argument, context)));
		}

		default: {
			const {operator, left, right} = expression;
			if (operator === 'and') {
				return evaluateExpression(left, context) === true && evaluateExpression(right, context) === true;
			}

			if (operator === 'or') {
				return evaluateExpression(left, context) === true || evaluateExpression(right, context) === true;
			}

			return applyOperator(operator, evaluateExpression(left, context), evaluateExpression(right, context));
		}
	}
};
