package org.carobstage.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.carobstage.http.Json;
import org.carobstage.timeline.EventFilter;
import org.carobstage.timeline.EventMessage;
import org.carobstage.timeline.HtmlTimelineRenderer;
import org.carobstage.timeline.TextTimelineRenderer;
import org.carobstage.timeline.Timeline;

/** Merges the events of several processes into one timeline. */
@Parameters(commandDescription = "Merge the events of several processes into one timeline")
final class TimelineCommand implements Command {
    @ParametersDelegate private final OperatorOptions operatorOptions = new OperatorOptions();

    @Parameter(names = "--group", description = "Only events of this group, and their causes")
    private String group = "";

    @Parameter(names = "--request", description = "Only events of this request, and their causes")
    private String request = "";

    @Parameter(names = "--session", description = "Only events of this session, and their causes")
    private String session = "";

    @Parameter(names = "--json", description = "Write JSON")
    private boolean json;

    @Parameter(names = "--html", description = "Also write the timeline as HTML to this file")
    private Path htmlFile;

    @Override
    public ExitCode run(Console console) {
        List<List<EventMessage>> eventsByProcess =
                operatorOptions
                        .queryAll(console, "/v1/timeline", EventMessage[].class)
                        .values()
                        .stream()
                        .map(Arrays::asList)
                        .toList();
        Timeline timeline =
                Timeline.merge(eventsByProcess).filter(new EventFilter(group, request, session));
        if (htmlFile != null) {
            CommandArguments.writeFile(htmlFile, HtmlTimelineRenderer.render(timeline));
        }
        console.out()
                .print(
                        json
                                ? Json.writeString(timeline.events()) + "\n"
                                : TextTimelineRenderer.render(timeline));
        return ExitCode.OK;
    }
}
