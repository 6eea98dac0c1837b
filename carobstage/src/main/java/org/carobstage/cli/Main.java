package org.carobstage.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.lang.System.Logger.Level;
import java.util.LinkedHashMap;
import java.util.Map;
import org.carobstage.error.CodedException;
import org.carobstage.error.ErrorCode;
import org.carobstage.event.LogFormat;
import org.carobstage.event.LogSetup;

/** Reads the command line and runs a command. */
public final class Main {
    private Main() {}

    /**
     * Runs a command and ends the process with its exit code.
     *
     * @param args the command line
     */
    public static void main(String[] args) {
        System.exit(run(args).number());
    }

    private static ExitCode run(String[] args) {
        LogSetup.apply(LogFormat.TEXT, Level.INFO);
        Map<String, Command> commands = new LinkedHashMap<>();
        commands.put("serve", new ServeCommand());
        commands.put("document-put", PutCommand.document());
        commands.put("group-put", PutCommand.group());
        JCommander.Builder builder = JCommander.newBuilder().programName("carobstage");
        commands.forEach(builder::addCommand);
        JCommander commander = builder.build();
        try {
            commander.parse(args);
        } catch (ParameterException e) {
            System.err.println(e.getMessage());
            return ExitCode.USAGE;
        }
        Command command = commands.get(String.valueOf(commander.getParsedCommand()));
        if (command == null) {
            commander.usage();
            return ExitCode.USAGE;
        }
        return run(command);
    }

    private static ExitCode run(Command command) {
        try {
            return command.run();
        } catch (CodedException e) {
            System.err.println(e.code().code() + " " + e.getMessage());
            boolean isUsage =
                    e.code() == ErrorCode.BAD_SETTINGS || e.code() == ErrorCode.BAD_DOCUMENT;
            return isUsage ? ExitCode.USAGE : ExitCode.FAILED;
        }
    }
}
