package org.carobstage.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.util.List;
import java.util.Optional;
import org.carobstage.error.CodedException;

/** The commands of the program, some of them nested. */
final class CommandTree {
    private static final String FRONT = "front";

    private final JCommander root = JCommander.newBuilder().programName("carobstage").build();

    private CommandTree() {
        root.addObject(new HelpOption());
        add(root, FRONT, new FrontCommand());
    }

    private void addOthers() {
        add(root, "serve", new ServeCommand());
        add(root, "check", new CheckCommand());
        add(root, "status", new StatusCommand());
        add(root, "timeline", new TimelineCommand());
        JCommander document = add(root, "document", new DocumentGroup());
        add(document, "put", new PutCommand(ConfigurationType.DOCUMENT));
        add(document, "get", new GetCommand(ConfigurationType.DOCUMENT));
        add(document, "history", new HistoryCommand(ConfigurationType.DOCUMENT));
        JCommander group = add(root, "group", new GroupGroup());
        add(group, "put", new PutCommand(ConfigurationType.GROUP));
        add(group, "get", new GetCommand(ConfigurationType.GROUP));
        add(group, "history", new HistoryCommand(ConfigurationType.GROUP));
        add(group, "list", new ListCommand());
        add(group, "drain", new DrainCommand());
        add(group, "promote", new PromoteCommand());
        add(root, "version", new VersionCommand());
    }

    static CommandTree of() {
        CommandTree tree = new CommandTree();
        tree.addOthers();
        return tree;
    }

    /** Creates the commands that a command line may name; reflection on all would delay a start. */
    static CommandTree of(String... args) {
        return args.length > 0 && args[0].equals(FRONT) ? new CommandTree() : of();
    }

    ExitCode run(Console console, String... args) {
        try {
            root.parse(args);
        } catch (ParameterException e) {
            console.err().println(e.getMessage());
            return ExitCode.USAGE;
        }
        JCommander level = root;
        while (level.getParsedCommand() != null && !helpAsked(level)) {
            level = level.getCommands().get(level.getParsedCommand());
        }
        if (helpAsked(level)) {
            console.out().print(usage(level));
            return ExitCode.OK;
        }
        JCommander last = level;
        return command(last)
                .map(command -> run(command, console))
                .orElseGet(() -> commandMissing(last, console));
    }

    private static ExitCode run(Command command, Console console) {
        try {
            return command.run(console);
        } catch (CodedException e) {
            console.err().println(e.code().code() + " " + e.code());
            console.err().println(e.getMessage());
            return ExitCode.of(e.code());
        }
    }

    private static ExitCode commandMissing(JCommander level, Console console) {
        console.err().print(usage(level));
        return ExitCode.USAGE;
    }

    private static JCommander add(JCommander parent, String name, Object command) {
        parent.addCommand(name, List.of(command, new HelpOption()));
        return parent.getCommands().get(name);
    }

    private static boolean helpAsked(JCommander level) {
        return level.getObjects().stream()
                .filter(HelpOption.class::isInstance)
                .map(HelpOption.class::cast)
                .anyMatch(HelpOption::isRequested);
    }

    private static Optional<Command> command(JCommander level) {
        return level.getObjects().stream()
                .filter(Command.class::isInstance)
                .map(Command.class::cast)
                .findFirst();
    }

    private static String usage(JCommander level) {
        StringBuilder text = new StringBuilder();
        level.getUsageFormatter().usage(text);
        return text.toString();
    }

    @Parameters(commandDescription = "Put, get and compare the teams' documents")
    private static final class DocumentGroup {}

    @Parameters(commandDescription = "Put and list database groups, drain and promote instances")
    private static final class GroupGroup {}
}
