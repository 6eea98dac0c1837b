package org.carobstage.testbed.scenario;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.carobstage.model.InstanceId;
import org.carobstage.model.VmId;
import org.carobstage.statement.Outcome;
import org.carobstage.testbed.history.Operation;

/** Reads one line of the language. */
final class LineParser {
    private static final char LABEL_END = ':';

    private LineParser() {}

    static Step parse(String line) {
        TokenStream words = TokenStream.of(line);
        String first = words.next("a step");
        Step step =
                first.charAt(first.length() - 1) == LABEL_END
                        ? operation(first.substring(0, first.length() - 1), words)
                        : control(first, words);
        words.expectEnd();
        return step;
    }

    private static Step control(String first, TokenStream words) {
        return switch (first) {
            case "layout" -> {
                Layout layout = words.nextEnum(Layout.class);
                yield stage -> stage.setLayout(layout);
            }
            case "lag" -> {
                long lag = words.nextMillis();
                yield stage -> stage.setLagMillis(lag);
            }
            case "vms" -> {
                List<String> names = rest(words);
                yield stage -> stage.setVms(names);
            }
            case "wait" -> {
                Duration time = Duration.ofMillis(words.nextMillis());
                yield stage -> stage.cluster().advance(time);
            }
            case "expect" -> expect(words);
            default -> fault(first, words);
        };
    }

    private static Step fault(String first, TokenStream words) {
        return switch (first) {
            case "freeze", "thaw" -> {
                String id = words.next("an instance");
                yield s -> s.cluster().faults().setFrozen(instance(s, id), first.equals("freeze"));
            }
            case "cut", "join" -> {
                String id = words.next("an instance");
                yield s ->
                        s.cluster()
                                .faults()
                                .setIsolatedFromGroup(instance(s, id), first.equals("cut"));
            }
            case "sever", "mend" -> {
                VmId vm = VmId.of(words.next("an entry VM"));
                String id = words.next("an instance");
                yield s ->
                        s.cluster()
                                .faults()
                                .setPartitioned(vm, instance(s, id), first.equals("sever"));
            }
            case "silence" -> s -> s.cluster().faults().stallOpenConnections();
            case "lose" -> {
                int answers = (int) words.nextLong("how many answers");
                words.expect("answers");
                yield s -> s.cluster().faults().dropNextResponses(answers);
            }
            case "promote" -> promote(words);
            default ->
                    throw new IllegalArgumentException("a step is expected in place of " + first);
        };
    }

    private static Step promote(TokenStream words) {
        String primary = words.next("an instance");
        words.expect("term");
        long term = words.nextLong("a term");
        words.expect("followers");
        List<String> followers = rest(words);
        return s ->
                s.cluster()
                        .promote(
                                instance(s, primary),
                                term,
                                followers.stream().map(id -> instance(s, id)).toList());
    }

    private static Step operation(String label, TokenStream words) {
        String caller = words.next("a caller");
        String verb = words.next("adds, lists, begins, commits or rolls");
        return switch (verb) {
            case "adds" -> adds(label, caller, words);
            case "lists" -> {
                String owner = words.next("an owner");
                String vm = at(words);
                String type = as(words);
                yield s -> s.registerOperation(label, s.callers().list(caller, owner, vm, type));
            }
            case "begins" -> {
                String vm = at(words);
                String type = as(words);
                yield s -> s.registerOperation(label, s.callers().begin(caller, vm, type));
            }
            case "commits" -> s -> s.registerOperation(label, s.callers().commit(caller));
            case "rolls" -> {
                words.expect("back");
                yield s -> s.registerOperation(label, s.callers().rollBack(caller));
            }
            default ->
                    throw new IllegalArgumentException(
                            "adds, lists, begins, commits or rolls is expected in place of "
                                    + verb);
        };
    }

    private static Step adds(String label, String caller, TokenStream words) {
        long id = words.nextLong("an identifier");
        words.expect("to");
        String owner = words.next("an owner");
        if (words.accept("inside")) {
            return s -> s.registerOperation(label, s.callers().addInTransaction(caller, id, owner));
        }
        String vm = at(words);
        String type = as(words);
        String key = words.accept("key") ? words.next("a key") : null;
        return s -> s.registerOperation(label, s.callers().add(caller, id, owner, vm, type, key));
    }

    private static Step expect(TokenStream words) {
        String label = words.next("a label");
        List<Step> checks = new ArrayList<>();
        List<Operation.Outcome> outcomes = new ArrayList<>();
        do {
            outcomes.add(words.nextEnum(Operation.Outcome.class));
        } while (words.accept("or"));
        checks.add(s -> checkOutcome(s.await(label).outcome(), outcomes));
        if (words.accept("within")) {
            long millis = words.nextMillis();
            checks.add(
                    s ->
                            require(
                                    s.elapsedMillis(label) <= millis,
                                    "took " + s.elapsedMillis(label) + " ms"));
        }
        if (words.accept("from")) {
            boolean replica = words.next("replica or primary").equals("replica");
            checks.add(
                    s ->
                            require(
                                    isFrom(s.await(label).outcome(), replica),
                                    "the outcome is " + s.await(label).outcome()));
        }
        if (words.accept("sees")) {
            List<Long> ids = numbers(words);
            checks.add(
                    s ->
                            require(
                                    s.await(label).rowIds().equals(ids),
                                    "the outcome is " + s.await(label).outcome()));
        }
        return s -> checks.forEach(check -> check.run(s));
    }

    private static void checkOutcome(Outcome found, List<Operation.Outcome> expected) {
        require(
                expected.contains(SimulatedCallers.toOperationOutcome(found)),
                "the outcome is " + found);
    }

    private static boolean isFrom(Outcome outcome, boolean replica) {
        return outcome instanceof Outcome.Done done && done.isReplica() == replica;
    }

    private static void require(boolean holds, String found) {
        if (!holds) {
            throw new IllegalStateException(found);
        }
    }

    private static String at(TokenStream words) {
        words.expect("at");
        return words.next("an entry VM");
    }

    private static String as(TokenStream words) {
        words.expect("as");
        return words.next("a request class");
    }

    private static InstanceId instance(ScenarioContext stage, String name) {
        return stage.cluster().instanceId(name);
    }

    private static List<String> rest(TokenStream words) {
        List<String> names = new ArrayList<>();
        do {
            names.add(words.next("a name"));
        } while (!words.isEmpty());
        return names;
    }

    private static List<Long> numbers(TokenStream words) {
        List<Long> numbers = new ArrayList<>();
        for (OptionalLong n = words.nextLongIfPresent();
                n.isPresent();
                n = words.nextLongIfPresent()) {
            numbers.add(n.getAsLong());
        }
        return numbers;
    }
}
