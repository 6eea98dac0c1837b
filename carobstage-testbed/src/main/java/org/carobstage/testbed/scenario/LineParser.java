package org.carobstage.testbed.scenario;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.carobstage.model.InstanceId;
import org.carobstage.model.VmId;
import org.carobstage.statement.Outcome;
import org.carobstage.testbed.history.Operation;

/** Parses one line of the scenario language into a step. */
final class LineParser {
    private static final char LABEL_END = ':';

    private LineParser() {}

    static Step parse(String line) {
        TokenStream tokens = TokenStream.of(line);
        String keyword = tokens.next("a step");
        Step step =
                keyword.charAt(keyword.length() - 1) == LABEL_END
                        ? parseOperation(keyword.substring(0, keyword.length() - 1), tokens)
                        : parseControl(keyword, tokens);
        tokens.expectEnd();
        return step;
    }

    private static Step parseControl(String keyword, TokenStream tokens) {
        return switch (keyword) {
            case "layout" -> {
                Layout layout = tokens.nextEnum(Layout.class);
                yield context -> context.setLayout(layout);
            }
            case "lag" -> {
                long lagMillis = tokens.nextMillis();
                yield context -> context.setLagMillis(lagMillis);
            }
            case "vms" -> {
                List<String> names = parseNames(tokens);
                yield context -> context.setVms(names);
            }
            case "wait" -> {
                Duration duration = Duration.ofMillis(tokens.nextMillis());
                yield context -> context.cluster().advance(duration);
            }
            case "expect" -> parseExpectation(tokens);
            default -> parseFault(keyword, tokens);
        };
    }

    private static Step parseFault(String keyword, TokenStream tokens) {
        return switch (keyword) {
            case "freeze", "thaw" -> {
                String id = tokens.next("an instance");
                yield context ->
                        context.cluster()
                                .faults()
                                .setFrozen(instanceId(context, id), keyword.equals("freeze"));
            }
            case "cut", "join" -> {
                String id = tokens.next("an instance");
                yield context ->
                        context.cluster()
                                .faults()
                                .setIsolatedFromGroup(
                                        instanceId(context, id), keyword.equals("cut"));
            }
            case "sever", "mend" -> {
                VmId vm = VmId.of(tokens.next("an entry VM"));
                String id = tokens.next("an instance");
                yield context ->
                        context.cluster()
                                .faults()
                                .setPartitioned(
                                        vm, instanceId(context, id), keyword.equals("sever"));
            }
            case "silence" -> context -> context.cluster().faults().stallOpenConnections();
            case "lose" -> {
                int responses = (int) tokens.nextLong("the number of answers");
                tokens.expect("answers");
                yield context -> context.cluster().faults().dropNextResponses(responses);
            }
            case "promote" -> parsePromotion(tokens);
            default ->
                    throw new IllegalArgumentException("a step is expected in place of " + keyword);
        };
    }

    private static Step parsePromotion(TokenStream tokens) {
        String primary = tokens.next("an instance");
        tokens.expect("term");
        long term = tokens.nextLong("a term");
        tokens.expect("followers");
        List<String> replicas = parseNames(tokens);
        return context ->
                context.cluster()
                        .promote(
                                instanceId(context, primary),
                                term,
                                replicas.stream().map(id -> instanceId(context, id)).toList());
    }

    private static Step parseOperation(String label, TokenStream tokens) {
        String caller = tokens.next("a caller");
        String verb = tokens.next("adds, lists, begins, commits or rolls");
        return switch (verb) {
            case "adds" -> parseAdd(label, caller, tokens);
            case "lists" -> {
                String owner = tokens.next("an owner");
                String vm = parseEntryVm(tokens);
                String requestClass = parseRequestClass(tokens);
                yield context ->
                        context.registerOperation(
                                label, context.callers().list(caller, owner, vm, requestClass));
            }
            case "begins" -> {
                String vm = parseEntryVm(tokens);
                String requestClass = parseRequestClass(tokens);
                yield context ->
                        context.registerOperation(
                                label, context.callers().begin(caller, vm, requestClass));
            }
            case "commits" ->
                    context -> context.registerOperation(label, context.callers().commit(caller));
            case "rolls" -> {
                tokens.expect("back");
                yield context ->
                        context.registerOperation(label, context.callers().rollBack(caller));
            }
            default ->
                    throw new IllegalArgumentException(
                            "adds, lists, begins, commits or rolls is expected in place of "
                                    + verb);
        };
    }

    private static Step parseAdd(String label, String caller, TokenStream tokens) {
        long id = tokens.nextLong("an identifier");
        tokens.expect("to");
        String owner = tokens.next("an owner");
        if (tokens.accept("inside")) {
            return context ->
                    context.registerOperation(
                            label, context.callers().addInTransaction(caller, id, owner));
        }
        String vm = parseEntryVm(tokens);
        String requestClass = parseRequestClass(tokens);
        String key = tokens.accept("key") ? tokens.next("a key") : null;
        return context ->
                context.registerOperation(
                        label, context.callers().add(caller, id, owner, vm, requestClass, key));
    }

    private static Step parseExpectation(TokenStream tokens) {
        String label = tokens.next("a label");
        List<Step> checks = new ArrayList<>();
        List<Operation.Outcome> outcomes = new ArrayList<>();
        do {
            outcomes.add(tokens.nextEnum(Operation.Outcome.class));
        } while (tokens.accept("or"));
        checks.add(context -> checkOutcome(context.await(label).outcome(), outcomes));
        if (tokens.accept("within")) {
            long millis = tokens.nextMillis();
            checks.add(
                    context ->
                            require(
                                    context.elapsedMillis(label) <= millis,
                                    "took " + context.elapsedMillis(label) + " ms"));
        }
        if (tokens.accept("from")) {
            boolean isReplica = tokens.next("replica or primary").equals("replica");
            checks.add(
                    context ->
                            require(
                                    isServedBy(context.await(label).outcome(), isReplica),
                                    "the outcome is " + context.await(label).outcome()));
        }
        if (tokens.accept("sees")) {
            List<Long> ids = parseNumbers(tokens);
            checks.add(
                    context ->
                            require(
                                    context.await(label).rowIds().equals(ids),
                                    "the outcome is " + context.await(label).outcome()));
        }
        return context -> checks.forEach(check -> check.run(context));
    }

    private static void checkOutcome(Outcome actual, List<Operation.Outcome> expected) {
        require(
                expected.contains(SimulatedCallers.toOperationOutcome(actual)),
                "the outcome is " + actual);
    }

    private static boolean isServedBy(Outcome outcome, boolean isReplica) {
        return outcome instanceof Outcome.Done done && done.isReplica() == isReplica;
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalStateException(message);
        }
    }

    private static String parseEntryVm(TokenStream tokens) {
        tokens.expect("at");
        return tokens.next("an entry VM");
    }

    private static String parseRequestClass(TokenStream tokens) {
        tokens.expect("as");
        return tokens.next("a request class");
    }

    private static InstanceId instanceId(ScenarioContext context, String name) {
        return context.cluster().instanceId(name);
    }

    private static List<String> parseNames(TokenStream tokens) {
        List<String> names = new ArrayList<>();
        do {
            names.add(tokens.next("a name"));
        } while (!tokens.isEmpty());
        return names;
    }

    private static List<Long> parseNumbers(TokenStream tokens) {
        List<Long> numbers = new ArrayList<>();
        for (OptionalLong n = tokens.nextLongIfPresent();
                n.isPresent();
                n = tokens.nextLongIfPresent()) {
            numbers.add(n.getAsLong());
        }
        return numbers;
    }
}
